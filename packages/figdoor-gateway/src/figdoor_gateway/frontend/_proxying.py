"""Processing of one request, from its first attempt to its response."""

from typing import TYPE_CHECKING

from figdoor_gateway.frontend._attempt import ProxiedAttempt
from figdoor_gateway.frontend._caller_response import CallerResponse
from figdoor_gateway.frontend._checks import BadRequestError
from figdoor_gateway.frontend._guarding import EndsCallOnError
from figdoor_gateway.frontend._holding import CallHolding
from figdoor_gateway.frontend._outbound import make_outbound, max_idle_ms
from figdoor_gateway.frontend._request import CallerRequest
from figdoor_gateway.frontend._upload import Upload
from figdoor_gateway.loop import Timer, call_later, cancel
from figdoor_gateway.protocols import ResponseHead
from figdoor_kernel import (
    AttemptResult,
    AttemptState,
    Finish,
    Outcome,
    Refusal,
    Send,
    Wait,
)

if TYPE_CHECKING:
    from figdoor_gateway.frontend._connection import CallerConnection


class ProxiedCall:
    """Carries out the steps of an exchange and forwards the response.

    Its ``on_*`` methods are the callbacks of its attempts.
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
            request.received_ms,
        )
        self._caller_response = CallerResponse(connection, request)
        self._upload: Upload | None = None
        self._attempts: dict[int, ProxiedAttempt] = {}
        self.holding = CallHolding(
            request, self._caller_response, self._attempts
        )
        self._deadline_passed = False
        self._is_finished = False
        self._deadline_timer: Timer | None = None
        self._wait_timer: Timer | None = None

    def start(self) -> None:
        """Start the deadline timer and carry out the first step."""
        with EndsCallOnError(self):
            routed = self._exchange.routed
            if routed is not None:
                left_ms = routed.deadline_ms - self._clock.now_ms()
                self._deadline_timer = call_later(left_ms, self._on_deadline)
            if not self._request.body_complete:
                self._upload = Upload(self._connection, self._request)
                self.holding.upload = self._upload
            self._advance()

    def fail(self, error: Exception) -> None:
        """End the call after an unexpected error: answer it or close.

        Once the call is finished, a part of its response may be written.
        """
        self._connection.front_end.report_error(error)
        has_begun = self._is_finished or self._caller_response.has_begun
        self._finish()
        step = self._exchange.fail(self._clock.now_ms())
        if has_begun:
            self._connection.abort()
        self._abandon_attempts()
        if not has_begun:
            self._caller_response.discard()
            self._caller_response.write_local(step, self._deadline_passed)

    def abandon(self) -> None:
        """Cancel the call, because the caller disconnected."""
        with EndsCallOnError(self):
            if not self._is_finished:
                self._finish()
                self._abandon_attempts()

    def abort(self) -> None:
        """End the call, because the node exits; answer it if it has not run.

        An attempt that waits for its connection has not been sent.
        """
        with EndsCallOnError(self):
            if not self._attempts:
                self._advance()
            if not self._is_finished:
                self.evict(Refusal.DEADLINE)

    def evict(self, refusal: Refusal) -> None:
        """End the call; refuse it if it has not run, or else close."""
        with EndsCallOnError(self):
            self._exchange.abandon(self._clock.now_ms(), refusal)
            self._abandon_attempts()
            step = self._exchange.next_step(self._clock.now_ms())
            is_not_run = (
                isinstance(step, Finish) and step.outcome is Outcome.NOT_RUN
            )
            is_open = not (self._is_finished or self._caller_response.has_begun)
            if is_not_run and is_open:
                self._advance()
            else:
                self._truncate_response()

    def reject_body(self, error: BadRequestError) -> None:
        """Cancel the call, because its body is malformed or too large."""
        with EndsCallOnError(self):
            if self._is_finished or self._request.body_complete:
                return
            if self._caller_response.has_begun:
                self._truncate_response()
                return
            self.abandon()
            step = self._exchange.next_step(self._clock.now_ms())
            self._caller_response.reject(
                error,
                step.outcome if isinstance(step, Finish) else Outcome.UNKNOWN,
            )

    def set_paused(self, is_paused: bool) -> None:
        """Stop or continue reading from upstreams, as the caller reads."""
        for attempt in self._attempts.values():
            if attempt.handle is None:
                continue
            if is_paused:
                attempt.handle.pause()
            else:
                attempt.handle.resume()

    def confirm_send(self, attempt: ProxiedAttempt) -> bool:
        """Check all rules right before the first byte is sent."""
        now_ms = self._clock.now_ms()
        try:
            is_confirmed = self._exchange.confirm_send(now_ms, attempt.number)
        except Exception as error:
            # Nothing is sent. The call ends here, since another attempt would
            # most likely hit the same fault of a plug-in.
            self._connection.front_end.report_error(error)
            unsent = AttemptResult(AttemptState.UNSENT_FAILURE, final=True)
            self._exchange.end(unsent, now_ms, attempt.number)
            return False
        if is_confirmed and attempt.handle is not None:
            # The attempt had to wait for its connection. Only now is it known
            # when a hedged attempt may start.
            cancel(self._wait_timer)
            self._wait_timer = call_later(0, self._advance)
        return is_confirmed

    def on_unsent(self, attempt: ProxiedAttempt, refused: bool) -> None:
        """Try another upstream, since no byte was sent."""
        # If the send was not confirmed, the exchange has already ended the
        # attempt and ignores this.
        self._end_attempt(
            attempt, AttemptState.UNSENT_FAILURE, connection_died=refused
        )
        self._advance()

    def on_head(self, attempt: ProxiedAttempt, head: ResponseHead) -> None:
        """Forward the head, unless the response is to be discarded.

        After an error, the transport may hold an attempt of a call that has
        ended. Its response must not follow that of the call.
        """
        if self._is_finished:
            attempt.is_discarded = True
            return
        now_ms = self._clock.now_ms()
        number = attempt.number
        if head.report is not None:
            self._exchange.report(head.report, now_ms, number)
        if head.leaving:
            self._exchange.report_leaving(now_ms, number)
        if head.backoff_ms:
            self._exchange.request_backoff(head.backoff_ms, now_ms, number)
        if attempt.has_failed and not head.shed and not head.inner_outcome:
            attempt.is_discarded = self._exchange.may_discard_response(
                now_ms, number
            )
        attempt.is_discarded = attempt.is_discarded or head.shed
        if attempt.is_discarded:
            return
        self._exchange.begin_response(number)
        for other in self._exchange.end_other_attempts(now_ms, number):
            self._attempts.pop(other).cancel()
        self._caller_response.begin(head)

    def on_body(self, data: bytes) -> None:
        """Forward a part of the body."""
        self._caller_response.write_body(data)
        if self._caller_response.is_oversized:
            self._caller_response.discard()
            self._abandon_attempts()
            self._advance()

    def flush(self) -> None:
        """Forward what has been received so far; more will follow."""
        self._caller_response.flush()

    def on_complete(self, attempt: ProxiedAttempt) -> None:
        """Finish the response, or take the next step if it was discarded."""
        if attempt.is_discarded:
            shed = attempt.was_shed
            state = AttemptState.SHED if shed else AttemptState.LOST
            self._end_attempt(attempt, state)
            self._advance()
            return
        self._finish()
        # The response is written before the parts of the node process the end
        # of the attempt, which would delay it. The next request on the
        # connection starts after that.
        self._caller_response.write_end()
        self._end_attempt(attempt, AttemptState.ANSWERED)
        self._caller_response.finish()

    def on_lost(self, attempt: ProxiedAttempt, connection_died: bool) -> None:
        """Truncate the response if it has begun, else take the next step."""
        self._end_attempt(
            attempt, AttemptState.LOST, connection_died=connection_died
        )
        if self._caller_response.has_begun:
            self._truncate_response()
        else:
            self._caller_response.discard()
            self._advance()

    def _advance(self) -> None:
        with EndsCallOnError(self):
            if self._is_finished:
                return
            cancel(self._wait_timer)
            step = self._exchange.next_step(self._clock.now_ms())
            if isinstance(step, Send):
                self._send(step)
            elif isinstance(step, Wait):
                left_ms = step.until_ms - self._clock.now_ms()
                self._wait_timer = call_later(left_ms, self._advance)
            else:
                self._finish()
                self._caller_response.write_local(step, self._deadline_passed)

    def _send(self, step: Send) -> None:
        # While it has no connection, the transport appends the parts of the
        # body that arrive to its request, and a retry sends these too.
        previous = self.holding.outbound
        body = previous.body if previous else self._request.take_body()
        upload = self._upload
        if upload is not None:
            body += upload.take_buffered()
        outbound = make_outbound(
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
        self.holding.outbound = outbound
        attempt = ProxiedAttempt(self, step.attempt_number)
        self._attempts[attempt.number] = attempt
        handle = self._connection.front_end.transport.send(
            step.upstream,
            outbound,
            attempt,
        )
        # The attempt may have ended during ``send``.
        if attempt.number in self._attempts:
            attempt.handle = handle
            if upload is not None:
                upload.handle = handle
            # The next step says when a hedged attempt may start.
            self._advance()

    def _on_deadline(self) -> None:
        with EndsCallOnError(self):
            self._deadline_passed = True
            if self._caller_response.has_begun:
                self._truncate_response()
            else:
                self._caller_response.discard()
                self._abandon_attempts()
                self._advance()

    def _truncate_response(self) -> None:
        """Close without the end of the body, so that the caller notices."""
        self.abandon()
        self._connection.abort()

    def _abandon_attempts(self) -> None:
        self._exchange.abandon(self._clock.now_ms())
        for attempt in self._attempts.values():
            attempt.cancel()
        self._attempts.clear()
        if self._upload is not None:
            self._upload.handle = None

    def _end_attempt(
        self,
        attempt: ProxiedAttempt,
        state: AttemptState,
        connection_died: bool = False,
    ) -> None:
        self._attempts.pop(attempt.number, None)
        attempt.release()
        if self._upload is not None:
            self._upload.handle = None
        is_shed = state is AttemptState.SHED
        self._exchange.end(
            AttemptResult(
                state, attempt.has_failed and not is_shed, connection_died
            ),
            self._clock.now_ms(),
            attempt.number,
        )

    def _finish(self) -> None:
        self._is_finished = True
        cancel(self._deadline_timer)
        cancel(self._wait_timer)
        if self._upload is not None:
            self._upload.end()
