"""One attempt of a call, as the upstream transport sees it."""

from typing import TYPE_CHECKING

from figdoor_gateway.protocols import AnswerHead, Sending

if TYPE_CHECKING:
    from figdoor_gateway.frontend._proxying import ProxiedCall

_FIRST_SERVER_ERROR = 500


class ProxiedAttempt:
    """Hears what becomes of one attempt and tells its call.

    ``is_dropped`` says that the answer is not for the caller: the upstream
    shed the request, or another attempt replaces a failed answer.
    """

    def __init__(self, call: 'ProxiedCall', number: int) -> None:
        """Start before anything was sent."""
        self.number = number
        self.sending: Sending | None = None
        self.was_shed = False
        self.has_failed = False
        self.is_dropped = False
        self._call = call

    def may_send(self) -> bool:
        """Check all rules right before the first byte leaves."""
        return self._call.may_send(self)

    def unsent(self, refused: bool) -> None:
        """Note that no byte left."""
        self._call.end_unsent(self, refused)

    def head(self, head: AnswerHead) -> None:
        """Take the head of the answer."""
        self.was_shed = head.shed
        self.has_failed = head.status >= _FIRST_SERVER_ERROR
        self._call.take_head(self, head)

    def body(self, data: bytes) -> None:
        """Take a part of the body."""
        if not self.is_dropped:
            self._call.take_body(data)

    def flush(self) -> None:
        """Pass on what was taken; more of the answer comes later."""
        if not self.is_dropped:
            self._call.flush()

    def complete(self) -> None:
        """Note the end of a whole answer."""
        self._call.end_answer(self)

    def lost(self, connection_died: bool) -> None:
        """Note that the end of the request is not known."""
        if self.is_dropped:
            # What was to be learned from that answer is known.
            self._call.end_answer(self)
        else:
            self._call.end_lost(self, connection_died)

    def cancel(self) -> None:
        """Give up; nothing more is heard of it."""
        if self.sending is not None:
            self.sending.cancel()
        self.release()

    def release(self) -> None:
        """Let go of the sending, which refers back to this attempt.

        Without the cycle both are freed at once and not by the collector.
        """
        self.sending = None
