"""Streaming of the part of a body that arrives after its call has begun."""

from typing import TYPE_CHECKING

from figdoor_gateway.frontend._request import CallerRequest
from figdoor_gateway.protocols import RequestHandle

if TYPE_CHECKING:
    from figdoor_gateway.frontend._connection import CallerConnection


class Upload:
    """Reads the caller's body only as fast as the upstream receives it.

    Reading pauses until the first part is being sent to an upstream. This
    bounds the buffered data while an attempt waits for its connection.
    """

    def __init__(
        self,
        connection: 'CallerConnection',
        request: CallerRequest,
    ) -> None:
        """Receive the rest of the body, and pause reading for now."""
        self.handle: RequestHandle | None = None
        self._connection = connection
        self._is_finished = False
        self._buffer = bytearray()
        request.on_data = self._on_data
        request.on_end = self._on_end
        connection.reader.flow.pause_upload()

    @property
    def buffered_bytes(self) -> int:
        """Size of what arrived between two attempts."""
        return len(self._buffer)

    def take_buffered(self) -> bytes:
        """Return and clear what arrived between two attempts."""
        body = bytes(self._buffer)
        self._buffer.clear()
        return body

    def end(self) -> None:
        """Discard the rest of the body."""
        self._is_finished = True
        self.handle = None

    def pause_body(self) -> None:
        """Stop reading from the caller, because the upstream reads slowly."""
        if not self._is_finished:
            self._connection.reader.flow.pause_upload()

    def resume_body(self) -> None:
        """Continue reading from the caller."""
        if not self._is_finished:
            self._connection.reader.flow.resume_upload()

    def _on_data(self, data: bytes) -> None:
        if self._is_finished:
            return
        if self.handle is None:
            self._buffer += data
        else:
            self.handle.send_body(data)

    def _on_end(self) -> None:
        if self.handle is not None:
            self.handle.finish_body()
