"""Reads and queues the requests of one connection."""

from collections import deque
from collections.abc import Callable

from figdoor_gateway.frontend._checks import (
    BadRequestError,
    too_large_body,
)
from figdoor_gateway.frontend._flow import ReadFlow
from figdoor_gateway.frontend._parsing import RequestParser
from figdoor_gateway.frontend._request import CallerRequest
from figdoor_gateway.settings import Settings
from figdoor_kernel import Clock

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
MAX_PIPELINED = 8
# Read at once from a body in chunks of a few bytes, whose parsing takes about
# 100 times as long as that of a large chunk.
SMALL_CHUNKS_READ_BYTES = 4096


class RequestReader:
    """Parses and queues requests, and pauses reading when too much waits."""

    def __init__(
        self,
        settings: Settings,
        write: Callable[[bytes], None],
        clock: Clock,
    ) -> None:
        """Start without a request."""
        self.flow = ReadFlow()
        self.error: BadRequestError | None = None
        self._settings = settings
        self._write = write
        self._clock = clock
        self._queue: deque[CallerRequest] = deque()
        self._parser = RequestParser(
            self._on_head,
            self._on_body,
            self._on_end,
            settings.max_header_bytes,
        )
        self._max_body_bytes = settings.max_body_bytes
        self._unparsed = b''
        self.is_discarding = False

    @property
    def has_request(self) -> bool:
        """Whether a request is queued or being read."""
        return bool(self._queue) or self._parser.in_message

    @property
    def has_unparsed(self) -> bool:
        """Whether data waits until the queue of requests has room."""
        return bool(self._unparsed)

    @property
    def in_head(self) -> bool:
        """Whether a head has begun and is not complete."""
        return self._parser.in_head

    @property
    def next_request(self) -> CallerRequest | None:
        """The next request, if its head is complete."""
        return self._queue[0] if self._queue else None

    @property
    def is_at_message_boundary(self) -> bool:
        """Whether the connection is between two requests, with none queued."""
        if self.error is not None or self._queue or self._unparsed:
            return False
        return self.flow.is_reading and not self._parser.in_message

    @property
    def held_bytes(self) -> int:
        """Bytes of requests that are queued or being read."""
        return self.queued_bytes + self._parser.held_bytes

    @property
    def queued_bytes(self) -> int:
        """Bytes of requests that are queued or not parsed yet."""
        requests_bytes = sum(request.held_bytes for request in self._queue)
        return len(self._unparsed) + requests_bytes

    def set_limits(self, settings: Settings) -> None:
        """Apply the limits in force; a body that has begun keeps its limit."""
        self._settings = settings
        self._parser.limit_heads(settings.max_header_bytes)

    def feed(self, data: bytes) -> None:
        """Parse data; after an error all data is discarded."""
        if self.is_discarding:
            return
        self._unparsed = self._unparsed + data if self._unparsed else data
        self.parse_waiting()

    def parse_waiting(self) -> None:
        """Parse what was received, until the queue of requests is full."""
        data = self._unparsed
        start = 0
        while start < len(data) and len(self._queue) < MAX_PIPELINED:
            if self.error is not None or self.is_discarding:
                break
            end = start + self._parser.part_bytes
            try:
                self._parser.feed(data[start:end])
            except BadRequestError as error:
                # The traceback of the raised one refers to what was read.
                self.error = BadRequestError(error.status, error.phrase)
            start = end
        if self._parser.has_small_chunks:
            self.flow.read_small_parts(SMALL_CHUNKS_READ_BYTES)
        is_ended = self.error is not None or self.is_discarding
        self._unparsed = b'' if is_ended else data[start:]

    def is_next_ready(self) -> bool:
        """Return whether the next request can start.

        It can once its body is complete or too large to be buffered.
        """
        if not self._queue:
            return False
        request = self._queue[0]
        if request.body_complete:
            return True
        if self.error is not None:
            return False
        limit_bytes: float = self._settings.max_buffered_body_bytes
        return len(request.body) > limit_bytes

    def take(self) -> CallerRequest:
        """Remove the next request from the queue and return it."""
        return self._queue.popleft()

    def send_continue(self) -> None:
        """Send ``100 Continue`` if the next request waits for it."""
        if not self._queue:
            return
        request = self._queue[0]
        if request.awaits_continue and not request.body_bytes:
            self._write(_CONTINUE)
        request.awaits_continue = False

    def limit_pipelining(self, in_progress: bool) -> None:
        """Stop reading while the queue is full behind a request in progress."""
        is_full = bool(self._queue) and in_progress and self._exceeds_limits()
        self.flow.set_queue_full(is_full or self.has_unparsed)

    def drop_queued(self) -> None:
        """Drop all requests but the one in progress, and read no more."""
        self.release()
        self.flow.set_queue_full(is_full=True)

    def discard(self) -> None:
        """Drop all requests and read on; the caller's data is discarded."""
        self.release()
        self.flow.resume_upload()
        self.flow.set_queue_full(is_full=False)

    def release(self) -> None:
        """Free all requests; what arrives later is discarded."""
        self.is_discarding = True
        self._queue.clear()
        self._unparsed = b''
        self._parser.close()

    def _exceeds_limits(self) -> bool:
        limit_bytes: float = self._settings.max_buffered_body_bytes
        queue = self._queue
        body_bytes = sum(len(request.body) for request in queue)
        return len(queue) >= MAX_PIPELINED or body_bytes > limit_bytes

    def _on_head(self, request: CallerRequest) -> None:
        expected = request.header(b'expect')
        if expected is not None and not request.http10:
            if expected.lower() != b'100-continue':
                raise BadRequestError(417, b'Expectation Failed')
            request.awaits_continue = request.body_length != 0
        length = request.body_length
        self._max_body_bytes = self._settings.max_body_bytes
        if length is not None and length > self._max_body_bytes:
            raise too_large_body()
        request.received_ms = self._clock.now_ms()
        self._queue.append(request)

    def _on_body(self, request: CallerRequest, data: bytes) -> None:
        if request.body_bytes > self._max_body_bytes:
            raise too_large_body()
        if request.on_data is None:
            request.body += data
        else:
            request.on_data(data)

    def _on_end(self, request: CallerRequest) -> None:
        if request.on_end is not None:
            request.on_end()
