"""Receiver of the response to one attempt of a call."""

from typing import TYPE_CHECKING

from figdoor_gateway.frontend._guarding import EndsCallOnError
from figdoor_gateway.protocols import RequestHandle, ResponseHead

if TYPE_CHECKING:
    from figdoor_gateway.frontend._proxying import ProxiedCall

# The body of a discarded response is read so that its connection can carry other
# requests. Bodies of failures are short; a new connection costs less than the
# time that a longer one takes.
MAX_DISCARDED_BYTES = 65_536
_FIRST_SERVER_ERROR = 500


class ProxiedAttempt:
    """Forwards the callbacks of one attempt to its call.

    ``is_discarded`` says that the response is not forwarded to the caller: the
    upstream shed the request, or another attempt replaces a failed response.
    """

    def __init__(self, call: 'ProxiedCall', number: int) -> None:
        """Start before anything was sent."""
        self.number = number
        self.handle: RequestHandle | None = None
        self.was_shed = False
        self.has_failed = False
        self.is_discarded = False
        self._discarded_bytes = 0
        self._call = call

    def confirm_send(self) -> bool:
        """Check all rules right before the first byte is sent."""
        return self._call.confirm_send(self)

    def on_unsent(self, refused: bool) -> None:
        """End the attempt, of which no byte was sent."""
        with EndsCallOnError(self._call):
            self._call.on_unsent(self, refused)

    def on_head(self, head: ResponseHead) -> None:
        """Record the status and forward the head."""
        self.was_shed = head.shed
        self.has_failed = head.status >= _FIRST_SERVER_ERROR
        with EndsCallOnError(self._call):
            self._call.on_head(self, head)

    def on_body(self, data: bytes) -> None:
        """Forward a part of the body."""
        if self.is_discarded:
            self._discard(data)
            return
        with EndsCallOnError(self._call):
            self._call.on_body(data)

    def flush(self) -> None:
        """Forward what has been received so far; more will follow."""
        if not self.is_discarded:
            with EndsCallOnError(self._call):
                self._call.flush()

    def on_complete(self) -> None:
        """End the attempt after a complete response."""
        with EndsCallOnError(self._call):
            self._call.on_complete(self)

    def on_lost(self, connection_died: bool) -> None:
        """End the attempt, which got no complete response."""
        if self.is_discarded:
            # The result of a discarded response follows from its head alone.
            self.on_complete()
            return
        with EndsCallOnError(self._call):
            self._call.on_lost(self, connection_died)

    def cancel(self) -> None:
        """Cancel the request; no further callbacks follow."""
        if self.handle is not None:
            self.handle.cancel()
        self.release()

    def release(self) -> None:
        """Drop the handle, which refers back to this attempt.

        Without this reference cycle both are freed by reference counting
        instead of the garbage collector.
        """
        self.handle = None

    def _discard(self, data: bytes) -> None:
        """End the attempt if its body keeps the call waiting for too long."""
        self._discarded_bytes += len(data)
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            if self.handle is not None:
                self.handle.cancel()
            self.on_complete()
