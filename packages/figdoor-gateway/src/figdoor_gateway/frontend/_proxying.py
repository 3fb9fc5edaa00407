"""One caller's request from the first attempt to the answer's end."""

from typing import TYPE_CHECKING

from loguru import logger

from figdoor_gateway.frontend._checks import BadRequestError
from figdoor_gateway.frontend._delivery import Delivery
from figdoor_gateway.frontend._outbound import make_outbound, max_idle_ms
from figdoor_gateway.frontend._request import CallerRequest
from figdoor_gateway.frontend._upload import Upload
from figdoor_gateway.loop import Timer, call_later, cancel
from figdoor_gateway.protocols import AnswerHead, OutboundRequest, Sending
from figdoor_kernel import (
    AttemptResult,
    AttemptState,
    Finish,
    Outcome,
    Send,
    Step,
    Wait,
)

if TYPE_CHECKING:
    from figdoor_gateway.frontend._connection import CallerConnection

_FIRST_SERVER_ERROR = 500


class ProxiedCall:
    """Does the steps of an exchange and passes the answer on.

    It is the receiver of each attempt.
    """

    def __init__(
        self,
        connection: 'CallerConnection',
        request: CallerRequest,
    ) -> None:
        """Open the exchange."""
        self._connection = connection
        self._clock = connection.front_end.clock
        self._request = request
        self._exchange = connection.front_end.dispatcher.open(
            request.as_call(connection.front_end.dialect),
            self._clock.now_ms(),
            self._advance,
        )
        self._delivery = Delivery(connection, request)
        self._outbound: OutboundRequest | None = None
        self._sending: Sending | None = None
        self._upload: Upload | None = None
        self._attempts = 0
        self._was_shed = False
        self._is_late = False
        self._is_over = False
        self._has_failed = False
        self._deadline_timer: Timer | None = None
        self._wait_timer: Timer | None = None

    def start(self) -> None:
        """Begin the first attempt."""
        routed = self._exchange.routed
        if routed is not None:
            left_ms = routed.deadline_ms - self._clock.now_ms()
            self._deadline_timer = call_later(left_ms, self._on_deadline)
        if not self._request.body_complete:
            self._upload = Upload(self._connection, self._request)
        self._advance()

    def abandon(self) -> None:
        """Give up, because the caller went away."""
        if not self._is_over:
            self._end()
            self._give_up()

    def refuse_body(self, error: BadRequestError) -> None:
        """Give up, because the rest of the body cannot be taken."""
        if self._is_over or self._request.body_complete:
            return
        if self._delivery.has_begun:
            self._cut()
            return
        self.abandon()
        step = self._exchange.next_step(self._clock.now_ms())
        self._delivery.refuse(
            error,
            step.outcome if isinstance(step, Finish) else Outcome.UNKNOWN,
        )

    def pause(self) -> None:
        """Slow the upstream down, because the caller reads slowly."""
        if self._sending is not None:
            self._sending.pause()

    def resume(self) -> None:
        """Let the upstream go on."""
        if self._sending is not None:
            self._sending.resume()

    def may_send(self) -> bool:
        """Check all rules right before the first byte leaves."""
        now_ms = self._clock.now_ms()
        try:
            return self._exchange.confirm_send(now_ms)
        except Exception:
            # No byte leaves. The call ends here, since another attempt would
            # most likely meet the same fault of a plug-in.
            logger.exception('checking a call before sending failed')
            unsent = AttemptResult(AttemptState.UNSENT_FAILURE, final=True)
            self._exchange.end(unsent, now_ms)
            return False

    def unsent(self, refused: bool) -> None:
        """Try elsewhere, since no byte left."""
        self._use(None)
        self._attempts += 1
        # Without effect where the send was not confirmed, which has ended
        # the attempt already.
        self._end_attempt(AttemptState.UNSENT_FAILURE, died=refused)
        self._advance()

    def head(self, head: AnswerHead) -> None:
        """Pass the head on, unless the upstream shed the request."""
        if head.report is not None:
            self._exchange.report(head.report, self._clock.now_ms())
        self._was_shed = head.shed
        self._has_failed = head.status >= _FIRST_SERVER_ERROR
        if not head.shed:
            self._exchange.begin_answer()
            self._delivery.begin(head)

    def body(self, data: bytes) -> None:
        """Pass a part of the body on."""
        self._delivery.body(data)
        if self._delivery.is_oversized:
            self._delivery.discard()
            self._give_up()
            self._advance()

    def flush(self) -> None:
        """Pass on what was taken; more of the answer comes later."""
        self._delivery.flush()

    def complete(self) -> None:
        """Finish the answer, or try elsewhere where it was shed."""
        self._use(None)
        if self._was_shed:
            self._end_attempt(AttemptState.SHED)
            self._was_shed = False
            self._advance()
            return
        self._end()
        # The caller need not wait until all parts have noted the end. The
        # next request of its connection begins after that.
        self._delivery.write_end()
        self._end_attempt(AttemptState.ANSWERED)
        self._delivery.finish()

    def lost(self, connection_died: bool) -> None:
        """Cut the caller's answer if it has begun, else decide anew."""
        if self._was_shed:
            # The mark was seen; the rest of that answer does not matter.
            self.complete()
            return
        self._use(None)
        self._end_attempt(AttemptState.LOST, died=connection_died)
        if self._delivery.has_begun:
            self._cut()
        else:
            self._delivery.discard()
            self._advance()

    def _advance(self) -> None:
        if self._is_over:
            return
        cancel(self._wait_timer)
        step = self._next_step()
        if isinstance(step, Send):
            self._send(step)
        elif isinstance(step, Wait):
            left_ms = step.until_ms - self._clock.now_ms()
            self._wait_timer = call_later(left_ms, self._advance)
        else:
            self._end()
            self._delivery.tell(step, self._is_late)

    def _next_step(self) -> Step:
        try:
            return self._exchange.next_step(self._clock.now_ms())
        except Exception:
            # A fault of one plug-in must not leave a caller without an
            # outcome, and unknown is true whatever was sent.
            logger.exception('deciding about a call failed')
            return Finish(Outcome.UNKNOWN)

    def _send(self, step: Send) -> None:
        self._attempts += 1
        attempt = self._attempts
        previous = self._outbound
        body = previous.body if previous else bytes(self._request.body)
        upload = self._upload
        if upload is not None:
            body += upload.take_held()
        self._outbound = make_outbound(
            self._request,
            body,
            step,
            self._clock.now_ms(),
            self._connection.front_end.dialect,
            max_idle_ms(
                self._exchange.routed,
                self._connection.front_end.settings,
            ),
            upload,
        )
        sending = self._connection.front_end.transport.send(
            step.upstream,
            self._outbound,
            self,
        )
        # The attempt may have ended already, and another one begun.
        if attempt == self._attempts and not self._is_over:
            self._use(sending)

    def _use(self, sending: Sending | None) -> None:
        self._sending = sending
        if self._upload is not None:
            self._upload.sending = sending

    def _on_deadline(self) -> None:
        self._is_late = True
        if self._delivery.has_begun:
            self._cut()
        else:
            self._delivery.discard()
            self._give_up()
            self._advance()

    def _cut(self) -> None:
        """Close before the end mark, so that the cut can be noticed."""
        self.abandon()
        self._connection.abort()

    def _give_up(self) -> None:
        self._exchange.abandon(self._clock.now_ms())
        if self._sending is not None:
            self._sending.cancel()
            self._use(None)

    def _end_attempt(self, state: AttemptState, died: bool = False) -> None:
        failed = state is AttemptState.ANSWERED and self._has_failed
        self._exchange.end(
            AttemptResult(state, failed, died),
            self._clock.now_ms(),
        )

    def _end(self) -> None:
        self._is_over = True
        cancel(self._deadline_timer)
        cancel(self._wait_timer)
        if self._upload is not None:
            self._upload.end()
