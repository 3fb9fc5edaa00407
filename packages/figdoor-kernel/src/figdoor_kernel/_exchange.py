"""The processing of one call: rules, selection, attempts and outcome.

A front end opens an ``Exchange`` for each call, gets the next step from it,
carries the step out, and reports the result.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from figdoor_kernel._attempts import (
    AttemptMachine,
    AttemptRecord,
    outcome_of,
    start_attempt,
)
from figdoor_kernel._call_events import (
    AttemptEnded,
    AttemptSent,
    AttemptStarted,
    CallClosed,
)
from figdoor_kernel._calls import LoadReport, RoutedCall
from figdoor_kernel._events import (
    BackoffRequested,
    LeavingSeen,
    ReportSeen,
)
from figdoor_kernel._fleet import Upstream
from figdoor_kernel._ids import TenantName, UpstreamId
from figdoor_kernel._selection import UpstreamSelection
from figdoor_kernel._states import (
    AttemptState,
    Outcome,
    Refusal,
)
from figdoor_kernel._steps import AttemptResult, Finish, Send, Step, Wait

if TYPE_CHECKING:
    from figdoor_kernel._dispatcher import Dispatcher

MIN_WAIT_MS = 100
NO_TENANT = TenantName('')


class Exchange:
    """One call, from its opening to its outcome.

    An error of a plug-in never leaves a call without an outcome. Where the
    plug-in decides on the next step, the call ends as unknown. Where it is
    only told what has happened, or advises on a further attempt, the call goes
    on without it. Each error is published as ``PluginFailed``.
    """

    def __init__(
        self,
        dispatcher: 'Dispatcher',
        routed: RoutedCall | None,
        now_ms: float,
        wake: Callable[[], None],
        request_id: str = '',
        refusal: Refusal = Refusal.NO_ROUTE,
    ) -> None:
        """Create an exchange without attempts.

        ``refusal`` says why a call without ``routed`` is refused.
        """
        self._request_id = request_id
        self._unrouted_refusal = refusal
        self.routed = routed
        self.attempts_made = 0
        self._dispatcher = dispatcher
        self._events = dispatcher.node.events
        self._opened_ms = now_ms
        self._selection = UpstreamSelection(dispatcher, wake)
        self._tried: set[UpstreamId] = set()
        self._attempts: dict[int, _CurrentAttempt] = {}
        self._is_hedge_decided = False
        self._finish: Finish | None = None
        self._may_have_run = False

    def next_step(self, now_ms: float) -> Step:
        """Return what to do now; call it again after a wait or an attempt."""
        if self._finish is not None:
            return self._finish
        routed = self.routed
        try:
            if self._attempts and routed is not None:
                return self._step_in_flight(routed, now_ms)
            return self._step_between(routed, now_ms)
        except Exception as error:
            self._events.report_error(error, now_ms)
            return self.fail(now_ms)

    def fail(self, now_ms: float) -> Finish:
        """End the call after an unexpected error.

        Its outcome is unknown, which is correct whether or not it was sent.
        """
        if self._finish is not None:
            return self._finish
        for attempt in tuple(self._attempts.values()):
            self._end_attempt(attempt, None, now_ms)
        return self._close(Outcome.UNKNOWN, None, now_ms)

    def confirm_send(self, now_ms: float, number: int | None = None) -> bool:
        """Check all rules again; call it right before the first byte.

        Time may have passed since the selection, in a connection attempt or
        because the process was suspended. If the result is ``False``, the
        attempt has ended unsent, and ``next_step`` returns what follows. If
        it raises, no byte may be sent and the front end must end the attempt
        as unsent. ``number`` is that of the attempt, by default the last one.
        """
        attempt = self._find_attempt(number)
        routed = self.routed
        if attempt is None or routed is None:
            return False
        refusal = self._dispatcher.refusal(routed, self.attempts_made, now_ms)
        confirmed = refusal is None and all(
            rule.confirm(attempt.upstream, routed, now_ms)
            for rule in self._dispatcher.candidate_rules
        )
        if not confirmed:
            unsent = AttemptResult(AttemptState.UNSENT_FAILURE)
            self.end(unsent, now_ms, attempt.number)
            return False
        attempt.sent_ms = now_ms
        self._events.publish(
            AttemptSent(
                attempt.attempt_id,
                attempt.upstream.upstream_id,
                routed,
                now_ms,
            ),
        )
        # After the event: if a subscriber raises, the attempt stays unsent.
        attempt.machine.send()
        return True

    def begin_response(self, number: int | None = None) -> None:
        """Record that the head of a response is being passed on."""
        attempt = self._find_attempt(number)
        if attempt is not None:
            attempt.machine.begin_response()

    def report(
        self,
        report: LoadReport,
        now_ms: float,
        number: int | None = None,
    ) -> None:
        """Publish a load report that the upstream of an attempt sent."""
        upstream_id = self._upstream_of(number)
        if upstream_id is not None:
            self._events.notify(ReportSeen(upstream_id, report, now_ms), now_ms)

    def report_leaving(self, now_ms: float, number: int | None = None) -> None:
        """Publish that the upstream of an attempt says that it is leaving."""
        upstream_id = self._upstream_of(number)
        if upstream_id is not None:
            self._events.notify(LeavingSeen(upstream_id, now_ms), now_ms)

    def request_backoff(
        self,
        duration_ms: float,
        now_ms: float,
        number: int | None = None,
    ) -> None:
        """Publish that the upstream of an attempt asks for a pause."""
        upstream_id = self._upstream_of(number)
        if upstream_id is not None:
            event = BackoffRequested(upstream_id, duration_ms, now_ms)
            self._events.notify(event, now_ms)

    def may_discard_response(
        self, now_ms: float, number: int | None = None
    ) -> bool:
        """Return whether a failed response is discarded for another attempt.

        Only an idempotent call may run again. If the result is ``True``, the
        front end discards the response and ends the attempt as lost.
        """
        routed = self.routed
        attempt = self._find_attempt(number)
        if routed is None or attempt is None or not routed.idempotent:
            return False
        if not self._dispatcher.node.options.retry_failed_answers:
            return False
        if len(self._attempts) > 1:
            return True
        return self._may_retry(AttemptResult(AttemptState.LOST), now_ms)

    def end_other_attempts(self, now_ms: float, number: int) -> tuple[int, ...]:
        """End all attempts except ``number``, whose response has begun.

        Returns the numbers of those that it ended.
        """
        others = tuple(other for other in self._attempts if other != number)
        for other in others:
            self._end_attempt(self._attempts[other], None, now_ms)
        return others

    def end(
        self,
        result: AttemptResult,
        now_ms: float,
        number: int | None = None,
    ) -> None:
        """End an attempt with the result that the transport observed.

        If another attempt is in flight, the call continues with that one.
        """
        attempt = self._find_attempt(number)
        if attempt is None or self.routed is None:
            return
        was_answering = self._end_attempt(attempt, result, now_ms)
        is_answered = result.state is AttemptState.ANSWERED
        is_over = was_answering or is_answered
        if not is_over and not self._attempts:
            is_over = result.final or not self._may_retry(result, now_ms)
        if is_over:
            outcome = outcome_of(result.state) or Outcome.UNKNOWN
            self._close(outcome, None, now_ms)

    def abandon(
        self,
        now_ms: float,
        refusal: Refusal = Refusal.DEADLINE,
    ) -> None:
        """End the call, which timed out or whose caller disconnected.

        An attempt that was sent counts as lost. ``refusal`` is the reason if
        no attempt is in flight.
        """
        if self._finish is not None:
            return
        if not self._attempts:
            self._close(Outcome.NOT_RUN, refusal, now_ms)
            return
        outcome = Outcome.NOT_RUN
        for attempt in tuple(self._attempts.values()):
            if attempt.record.state is not AttemptState.UNSENT:
                outcome = Outcome.UNKNOWN
            self._end_attempt(attempt, None, now_ms)
        self._close(outcome, None, now_ms)

    def _find_attempt(self, number: int | None) -> '_CurrentAttempt | None':
        if number is not None:
            return self._attempts.get(number)
        return self._attempts.get(max(self._attempts, default=0))

    def _upstream_of(self, number: int | None) -> UpstreamId | None:
        attempt = self._find_attempt(number)
        return attempt.upstream.upstream_id if attempt else None

    def _end_attempt(
        self,
        attempt: '_CurrentAttempt',
        result: AttemptResult | None,
        now_ms: float,
    ) -> bool:
        """Publish the end; return whether the response was being passed on.

        Without a result the attempt is abandoned.
        """
        state = attempt.record.state
        if result is None:
            is_unsent = state is AttemptState.UNSENT
            result = AttemptResult(
                AttemptState.UNSENT_FAILURE if is_unsent else AttemptState.LOST,
                final=True,
            )
        was_answering = state is AttemptState.ANSWERING
        _END_INPUTS[result.state](attempt.machine)
        if result.state is AttemptState.LOST:
            self._may_have_run = True
        self._attempts.pop(attempt.number)
        if self.routed is not None:
            self._events.notify(
                AttemptEnded(
                    attempt.attempt_id,
                    attempt.upstream.upstream_id,
                    self.routed,
                    result.state,
                    now_ms - attempt.sent_ms,
                    result.failed,
                    result.connection_died,
                    now_ms,
                    was_answering,
                    result.final,
                ),
                now_ms,
            )
        return was_answering

    def _step_between(self, routed: RoutedCall | None, now_ms: float) -> Step:
        """Return the next step of a call that has no attempt in flight."""
        if routed is None:
            return self._close(Outcome.NOT_RUN, self._unrouted_refusal, now_ms)
        selected = self._selection.admit(
            routed, self.attempts_made, now_ms
        ) or self._selection.select(routed, self._tried, now_ms)
        if isinstance(selected, Refusal):
            return self._close(Outcome.NOT_RUN, selected, now_ms)
        if isinstance(selected, Wait):
            return selected
        return self._start(selected, routed, now_ms)

    def _step_in_flight(self, routed: RoutedCall, now_ms: float) -> Step:
        """Wait for the attempt in flight, or start a second one as a hedge."""
        # A wait that ends now would make the front end call in a busy loop.
        wait = Wait(max(routed.deadline_ms, now_ms + MIN_WAIT_MS))
        try:
            return self._hedge_step(routed, now_ms) or wait
        except Exception as error:
            # The attempt in flight goes on without a hedge.
            self._events.report_error(error, now_ms)
        self._is_hedge_decided = True
        return wait

    def _hedge_step(self, routed: RoutedCall, now_ms: float) -> Step | None:
        """Return the second attempt or a wait for it, ``None`` for neither."""
        hedge_ms = self._hedge_ms(routed)
        if hedge_ms is None:
            return None
        if now_ms < hedge_ms:
            return Wait(hedge_ms)
        lost = AttemptResult(AttemptState.LOST)
        selected = None
        if self._may_retry(lost, now_ms):
            selected = self._selection.select_for_hedge(
                routed, self._tried, now_ms
            )
        if isinstance(selected, Wait):
            return selected
        self._is_hedge_decided = True
        return self._start(selected, routed, now_ms) if selected else None

    def _hedge_ms(self, routed: RoutedCall) -> float | None:
        """Return when a second attempt may start, ``None`` for never.

        Two attempts in flight may run a call twice, so only an idempotent
        call is hedged.
        """
        if self._is_hedge_decided or not routed.idempotent:
            return None
        attempt = self._find_attempt(None)
        if attempt is None or attempt.record.state is not AttemptState.SENT:
            return None
        if len(self._attempts) > 1 or not routed.call.replayable:
            return None
        times_ms = [
            rule.hedge_ms(routed, attempt.upstream, attempt.sent_ms)
            for rule in self._dispatcher.hedge_rules
        ]
        hedge_times_ms = [
            time_ms for time_ms in times_ms if time_ms is not None
        ]
        return max(hedge_times_ms, default=None)

    def _may_retry(self, result: AttemptResult, now_ms: float) -> bool:
        routed = self.routed
        if routed is None or result.state is AttemptState.ANSWERED:
            return False
        if not routed.call.replayable and result.state is not (
            AttemptState.UNSENT_FAILURE
        ):
            return False
        if result.state is AttemptState.LOST and not routed.idempotent:
            return False
        return self._dispatcher.may_retry(
            routed, self.attempts_made, result.state, now_ms
        )

    def _start(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        now_ms: float,
    ) -> Send:
        self.attempts_made += 1
        self._tried.add(upstream.upstream_id)
        record = AttemptRecord()
        attempt = _CurrentAttempt(
            next(self._dispatcher.attempt_ids),
            self.attempts_made,
            upstream,
            record,
            start_attempt(record),
            now_ms,
        )
        self._attempts[attempt.number] = attempt
        started = AttemptStarted(
            attempt.attempt_id,
            upstream.upstream_id,
            routed,
            self.attempts_made,
            now_ms,
        )
        try:
            self._events.publish(started)
        except Exception:
            # It is in flight for the other subscribers.
            self._end_attempt(attempt, None, now_ms)
            raise
        return Send(
            upstream,
            self.attempts_made,
            routed.deadline_ms,
            routed.key_state,
            routed.tenant_record.name if routed.tenant_record else NO_TENANT,
        )

    def _close(
        self,
        outcome: Outcome,
        refusal: Refusal | None,
        now_ms: float,
    ) -> Finish:
        if outcome is Outcome.NOT_RUN and self._may_have_run:
            # An upstream may have run an earlier attempt that was lost.
            outcome = Outcome.UNKNOWN
        self._finish = Finish(
            outcome,
            refusal,
            self._dispatcher.retry_after_ms(
                outcome,
                refusal,
                self.routed,
                now_ms,
            ),
        )
        self._selection.close()
        self._events.notify(
            CallClosed(
                self.routed,
                outcome,
                refusal,
                now_ms - self._opened_ms,
                now_ms,
                self._request_id,
            ),
            now_ms,
        )
        return self._finish


@dataclass(slots=True)
class _CurrentAttempt:
    """An attempt in flight; ``sent_ms`` is its start until it is sent."""

    attempt_id: int
    number: int
    upstream: Upstream
    record: AttemptRecord
    machine: AttemptMachine
    sent_ms: float


_END_INPUTS: dict[AttemptState, Callable[[AttemptMachine], None]] = {
    AttemptState.ANSWERED: lambda machine: machine.complete(),
    AttemptState.SHED: lambda machine: machine.shed(),
    AttemptState.UNSENT_FAILURE: lambda machine: machine.fail_unsent(),
    AttemptState.LOST: lambda machine: machine.lose(),
}
