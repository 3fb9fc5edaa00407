"""One caller's request from the first attempt to the answer's end."""

from typing import TYPE_CHECKING

from loguru import logger

from figdoor_gateway.frontend._attempt import ProxiedAttempt
from figdoor_gateway.frontend._checks import BadRequestError
from figdoor_gateway.frontend._delivery import Delivery
from figdoor_gateway.frontend._outbound import make_outbound, max_idle_ms
from figdoor_gateway.frontend._request import CallerRequest
from figdoor_gateway.frontend._upload import Upload
from figdoor_gateway.loop import Timer, call_later, cancel
from figdoor_gateway.protocols import AnswerHead, OutboundRequest
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


class ProxiedCall:
    """Does the steps of an exchange and passes the answer on.

    Each attempt tells it what the upstream answered.
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
        self._upload: Upload | None = None
        self._attempts: dict[int, ProxiedAttempt] = {}
        self._is_late = False
        self._is_over = False
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
        for attempt in self._attempts.values():
            if attempt.sending is not None:
                attempt.sending.pause()

    def resume(self) -> None:
        """Let the upstream go on."""
        for attempt in self._attempts.values():
            if attempt.sending is not None:
                attempt.sending.resume()

    def may_send(self, attempt: ProxiedAttempt) -> bool:
        """Check all rules right before the first byte leaves."""
        now_ms = self._clock.now_ms()
        try:
            is_confirmed = self._exchange.confirm_send(now_ms, attempt.number)
        except Exception:
            # No byte leaves. The call ends here, since another attempt would
            # most likely meet the same fault of a plug-in.
            logger.exception('checking a call before sending failed')
            unsent = AttemptResult(AttemptState.UNSENT_FAILURE, final=True)
            self._exchange.end(unsent, now_ms, attempt.number)
            return False
        if is_confirmed and attempt.sending is not None:
            # The attempt waited for its connection. Only from now on is it
            # known when another may follow beside it.
            cancel(self._wait_timer)
            self._wait_timer = call_later(0, self._advance)
        return is_confirmed

    def end_unsent(self, attempt: ProxiedAttempt, refused: bool) -> None:
        """Try elsewhere, since no byte left."""
        # Without effect where the send was not confirmed, which has ended
        # the attempt already.
        self._end_attempt(attempt, AttemptState.UNSENT_FAILURE, died=refused)
        self._advance()

    def take_head(self, attempt: ProxiedAttempt, head: AnswerHead) -> None:
        """Pass the head on, unless another attempt follows."""
        now_ms = self._clock.now_ms()
        number = attempt.number
        if head.report is not None:
            self._exchange.report(head.report, now_ms, number)
        if attempt.has_failed and not head.shed and not head.inner_outcome:
            attempt.is_dropped = self._exchange.may_discard_response(
                now_ms, number
            )
        attempt.is_dropped = attempt.is_dropped or head.shed
        if attempt.is_dropped:
            return
        self._exchange.begin_response(number)
        for other in self._exchange.end_other_attempts(now_ms, number):
            self._attempts.pop(other).cancel()
        self._delivery.begin(head)

    def take_body(self, data: bytes) -> None:
        """Pass a part of the body on."""
        self._delivery.body(data)
        if self._delivery.is_oversized:
            self._delivery.discard()
            self._give_up()
            self._advance()

    def flush(self) -> None:
        """Pass on what was taken; more of the answer comes later."""
        self._delivery.flush()

    def end_answer(self, attempt: ProxiedAttempt) -> None:
        """Finish the answer, or go on where it was dropped."""
        if attempt.is_dropped:
            shed = attempt.was_shed
            state = AttemptState.SHED if shed else AttemptState.LOST
            self._end_attempt(attempt, state)
            self._advance()
            return
        self._end()
        # The caller need not wait until all parts have noted the end. The
        # next request of its connection begins after that.
        self._delivery.write_end()
        self._end_attempt(attempt, AttemptState.ANSWERED)
        self._delivery.finish()

    def end_lost(self, attempt: ProxiedAttempt, connection_died: bool) -> None:
        """Cut the caller's answer if it has begun, else decide anew."""
        self._end_attempt(attempt, AttemptState.LOST, died=connection_died)
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
        attempt = ProxiedAttempt(self, step.attempt_number)
        self._attempts[attempt.number] = attempt
        sending = self._connection.front_end.transport.send(
            step.upstream,
            self._outbound,
            attempt,
        )
        # The attempt may have ended already.
        if attempt.number in self._attempts:
            attempt.sending = sending
            if upload is not None:
                upload.sending = sending
            # A second attempt may follow beside it.
            self._advance()

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
        for attempt in self._attempts.values():
            attempt.cancel()
        self._attempts.clear()
        if self._upload is not None:
            self._upload.sending = None

    def _end_attempt(
        self,
        attempt: ProxiedAttempt,
        state: AttemptState,
        died: bool = False,
    ) -> None:
        self._attempts.pop(attempt.number, None)
        attempt.release()
        if self._upload is not None:
            self._upload.sending = None
        is_shed = state is AttemptState.SHED
        self._exchange.end(
            AttemptResult(state, attempt.has_failed and not is_shed, died),
            self._clock.now_ms(),
            attempt.number,
        )

    def _end(self) -> None:
        self._is_over = True
        cancel(self._deadline_timer)
        cancel(self._wait_timer)
        if self._upload is not None:
            self._upload.end()
