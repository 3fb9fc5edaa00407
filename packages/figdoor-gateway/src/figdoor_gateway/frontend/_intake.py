"""Requests of one connection that were read and wait for their turn."""

from collections import deque
from collections.abc import Callable
from typing import Any

from figdoor_gateway.frontend._checks import (
    BadRequestError,
    too_large_body,
)
from figdoor_gateway.frontend._parsing import RequestParser
from figdoor_gateway.frontend._request import CallerRequest
from figdoor_gateway.settings import Settings

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
MAX_PIPELINED = 8


class Intake:
    """Parses what a caller sends and reads no faster than it is used."""

    def __init__(
        self,
        settings: Settings,
        write: Callable[[bytes], None],
    ) -> None:
        """Start without a request."""
        self.transport: Any = None
        self.error: BadRequestError | None = None
        self._settings = settings
        self._write = write
        self._waiting: deque[CallerRequest] = deque()
        self._parser = RequestParser(
            self._on_head,
            self._on_body,
            self._on_end,
            settings.max_header_bytes,
        )
        self._upload_paused = False
        self._too_much_waits = False
        self._reads = True

    @property
    def has_request(self) -> bool:
        """Whether a request waits or is being read."""
        return bool(self._waiting) or self._parser.in_message

    @property
    def in_head(self) -> bool:
        """Whether a head has begun and is not complete."""
        return self._parser.in_head

    @property
    def is_at_boundary(self) -> bool:
        """Whether all that was read belongs to complete requests."""
        if self.error is not None or self._waiting:
            return False
        return self._reads and not self._parser.in_message

    def feed(self, data: bytes) -> None:
        """Parse; after an error everything is dropped."""
        if self.error is not None:
            return
        try:
            self._parser.feed(data)
        except BadRequestError as error:
            self.error = error

    def next_is_ready(self) -> bool:
        """Tell whether the next request can be taken.

        It can be once its body is complete or too large to be held.
        """
        if not self._waiting:
            return False
        request = self._waiting[0]
        if request.body_complete:
            return True
        if self.error is not None:
            return False
        limit_bytes: float = self._settings.max_buffered_body_bytes
        return len(request.body) > limit_bytes

    def take(self) -> CallerRequest:
        """Remove and return the next request."""
        return self._waiting.popleft()

    def invite_body(self) -> None:
        """Send the interim answer that the next request waits for."""
        if not self._waiting:
            return
        request = self._waiting[0]
        if request.awaits_continue and not request.body_bytes:
            self._write(_CONTINUE)
        request.awaits_continue = False

    def pause_upload(self) -> None:
        """Stop reading, because the upstream takes the body slowly."""
        self._upload_paused = True
        self._apply()

    def resume_upload(self) -> None:
        """Go on reading, unless too much waits."""
        self._upload_paused = False
        self._apply()

    def regulate(self, in_progress: bool) -> None:
        """Stop reading while enough requests wait for the one in progress."""
        waiting = self._waiting
        self._too_much_waits = (
            bool(waiting)
            and in_progress
            and (len(waiting) >= MAX_PIPELINED or self._waits_large())
        )
        self._apply()

    def discard(self) -> None:
        """Read on, to drop what the caller still sends."""
        self._waiting.clear()
        self._upload_paused = False
        self._too_much_waits = False
        self._apply()

    def _apply(self) -> None:
        reads = not (self._upload_paused or self._too_much_waits)
        if reads is self._reads:
            return
        self._reads = reads
        if reads:
            self.transport.resumeProducing()
        else:
            self.transport.pauseProducing()

    def _waits_large(self) -> bool:
        limit_bytes: float = self._settings.max_buffered_body_bytes
        return sum(len(one.body) for one in self._waiting) > limit_bytes

    def _on_head(self, request: CallerRequest) -> None:
        expected = request.header(b'expect')
        if expected is not None and not request.http10:
            if expected.lower() != b'100-continue':
                raise BadRequestError(417, b'Expectation Failed')
            request.awaits_continue = request.body_length != 0
        length = request.body_length
        if length is not None and length > self._settings.max_body_bytes:
            raise too_large_body()
        self._waiting.append(request)

    def _on_body(self, request: CallerRequest, data: bytes) -> None:
        if request.body_bytes > self._settings.max_body_bytes:
            raise too_large_body()
        if request.on_data is None:
            request.body += data
        else:
            request.on_data(data)

    def _on_end(self, request: CallerRequest) -> None:
        if request.on_end is not None:
            request.on_end()
