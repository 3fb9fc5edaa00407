"""The path of one call: rules, choice, attempt, and what follows it.

A front end opens an ``Exchange`` for each call, asks it for the next step,
does it, and reports what happened.
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
from figdoor_kernel._calls import LoadReport, RoutedCall
from figdoor_kernel._events import (
    AttemptEnded,
    AttemptSent,
    AttemptStarted,
    CallClosed,
    ReportSeen,
)
from figdoor_kernel._fleet import Upstream
from figdoor_kernel._ids import UpstreamId
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


class Exchange:
    """One call from its opening to its outcome."""

    def __init__(
        self,
        dispatcher: 'Dispatcher',
        routed: RoutedCall | None,
        now_ms: float,
        wake: Callable[[], None],
        request_id: str = '',
    ) -> None:
        """Start before the first attempt."""
        self._request_id = request_id
        self.routed = routed
        self.attempts_made = 0
        self._dispatcher = dispatcher
        self._events = dispatcher.node.events
        self._opened_ms = now_ms
        self._selection = UpstreamSelection(dispatcher, wake)
        self._tried: set[UpstreamId] = set()
        self._attempts: dict[int, _CurrentAttempt] = {}
        self._hedge_is_over = False
        self._finish: Finish | None = None
        self._may_have_run = False

    def next_step(self, now_ms: float) -> Step:
        """Return what to do now; call it again after each ended attempt."""
        if self._finish is not None:
            return self._finish
        routed = self.routed
        if self._attempts and routed is not None:
            return self._step_in_flight(routed, now_ms)
        if routed is None:
            has_tables = self._dispatcher.node.tables is not None
            reason = Refusal.NO_ROUTE if has_tables else Refusal.NO_TABLES
            return self._close(Outcome.NOT_RUN, reason, now_ms)
        refusal = self._dispatcher.refusal(routed, self.attempts_made, now_ms)
        if refusal is not None:
            return self._close(Outcome.NOT_RUN, refusal, now_ms)
        found = self._selection.select(routed, self._tried, now_ms)
        if isinstance(found, Refusal):
            return self._close(Outcome.NOT_RUN, found, now_ms)
        if isinstance(found, Wait):
            return found
        return self._start(found, routed, now_ms)

    def confirm_send(self, now_ms: float, number: int | None = None) -> bool:
        """Check all rules once more; call it right before the first byte.

        Time may have passed since the choice, in a connection attempt or
        because the process was paused. Where it returns ``False`` the attempt
        has ended unsent, and ``next_step`` says what follows. Where it raises,
        no byte may leave and the attempt is still to be ended as unsent.
        ``number`` is that of the attempt, by default the last one.
        """
        attempt = self._find(number)
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
        # Only now, so that an attempt stays unsent where a subscriber fails.
        attempt.life.send()
        return True

    def begin_response(self, number: int | None = None) -> None:
        """Note that the head of an answer is being passed on."""
        attempt = self._find(number)
        if attempt is not None:
            attempt.life.begin_response()

    def report(
        self,
        report: LoadReport,
        now_ms: float,
        number: int | None = None,
    ) -> None:
        """Tell all parts what the upstream says of its load."""
        attempt = self._find(number)
        if attempt is not None:
            upstream_id = attempt.upstream.upstream_id
            self._events.publish(ReportSeen(upstream_id, report, now_ms))

    def may_discard_response(
        self, now_ms: float, number: int | None = None
    ) -> bool:
        """Return whether a failed answer is dropped for another attempt.

        Only an idempotent call may run again. The attempt is then ended as
        lost.
        """
        routed = self.routed
        attempt = self._find(number)
        if routed is None or attempt is None or not routed.idempotent:
            return False
        if not self._dispatcher.node.options.retry_failed_answers:
            return False
        if len(self._attempts) > 1:
            return True
        return self._may_retry(AttemptResult(AttemptState.LOST), now_ms)

    def end_other_attempts(self, now_ms: float, number: int) -> tuple[int, ...]:
        """End all attempts but one, because that one is being answered."""
        others = tuple(other for other in self._attempts if other != number)
        for other in others:
            self._end_attempt(self._attempts[other], None, now_ms)
        return others

    def end(
        self,
        seen: AttemptResult,
        now_ms: float,
        number: int | None = None,
    ) -> None:
        """End an attempt as the transport saw it.

        While another one is under way, the call goes on with that.
        """
        attempt = self._find(number)
        if attempt is None or self.routed is None:
            return
        was_answering = self._end_attempt(attempt, seen, now_ms)
        is_answered = seen.state is AttemptState.ANSWERED
        is_over = was_answering or seen.final or is_answered
        if not is_over and not self._attempts:
            is_over = not self._may_retry(seen, now_ms)
        if is_over:
            outcome = outcome_of(seen.state) or Outcome.UNKNOWN
            self._close(outcome, None, now_ms)

    def abandon(self, now_ms: float) -> None:
        """End the call because its caller went away or its time is up.

        An attempt counts as lost once it was sent.
        """
        if self._finish is not None:
            return
        if not self._attempts:
            self._close(Outcome.NOT_RUN, Refusal.DEADLINE, now_ms)
            return
        outcome = Outcome.NOT_RUN
        for attempt in tuple(self._attempts.values()):
            if attempt.record.state is not AttemptState.UNSENT:
                outcome = Outcome.UNKNOWN
            self._end_attempt(attempt, None, now_ms)
        self._close(outcome, None, now_ms)

    def _find(self, number: int | None) -> '_CurrentAttempt | None':
        if number is not None:
            return self._attempts.get(number)
        return self._attempts.get(max(self._attempts, default=0))

    def _end_attempt(
        self,
        attempt: '_CurrentAttempt',
        seen: AttemptResult | None,
        now_ms: float,
    ) -> bool:
        """Tell all parts; return whether its answer was being passed on.

        Without a result the attempt is given up.
        """
        state = attempt.record.state
        if seen is None:
            unsent = state is AttemptState.UNSENT
            seen = AttemptResult(
                AttemptState.UNSENT_FAILURE if unsent else AttemptState.LOST,
                final=True,
            )
        was_answering = state is AttemptState.ANSWERING
        _ENDINGS[seen.state](attempt.life)
        if seen.state is AttemptState.LOST:
            self._may_have_run = True
        self._attempts.pop(attempt.number)
        if self.routed is not None:
            self._events.publish(
                AttemptEnded(
                    attempt.attempt_id,
                    attempt.upstream.upstream_id,
                    self.routed,
                    seen.state,
                    now_ms - attempt.sent_ms,
                    seen.failed,
                    seen.connection_died,
                    now_ms,
                    was_answering,
                    seen.final,
                ),
            )
        return was_answering

    def _step_in_flight(self, routed: RoutedCall, now_ms: float) -> Step:
        """Wait for the attempt under way, or begin a second one beside it."""
        # The time is never now, or the front end would ask without a pause.
        wait = Wait(max(routed.deadline_ms, now_ms + MIN_WAIT_MS))
        hedge_ms = self._hedge_ms(routed)
        if hedge_ms is None:
            return wait
        if now_ms < hedge_ms:
            return Wait(hedge_ms)
        lost = AttemptResult(AttemptState.LOST)
        found = None
        if self._may_retry(lost, now_ms):
            found = self._selection.select_for_hedge(
                routed, self._tried, now_ms
            )
        if isinstance(found, Wait):
            return found
        self._hedge_is_over = True
        return self._start(found, routed, now_ms) if found else wait

    def _hedge_ms(self, routed: RoutedCall) -> float | None:
        """Return when a second attempt may begin, ``None`` for never.

        A second attempt beside the first runs a call twice, so that only an
        idempotent one may have it.
        """
        if self._hedge_is_over or not routed.idempotent:
            return None
        attempt = self._find(None)
        if attempt is None or attempt.record.state is not AttemptState.SENT:
            return None
        if len(self._attempts) > 1 or not routed.call.replayable:
            return None
        times_ms = [
            rule.hedge_ms(routed, attempt.upstream, attempt.sent_ms)
            for rule in self._dispatcher.hedge_rules
        ]
        known_ms = [time_ms for time_ms in times_ms if time_ms is not None]
        return max(known_ms, default=None)

    def _may_retry(self, seen: AttemptResult, now_ms: float) -> bool:
        routed = self.routed
        if routed is None or seen.state is AttemptState.ANSWERED:
            return False
        if not routed.call.replayable and seen.state is not (
            AttemptState.UNSENT_FAILURE
        ):
            return False
        if seen.state is AttemptState.LOST and not routed.idempotent:
            return False
        return all(
            rule.allow(routed, self.attempts_made, seen.state, now_ms)
            for rule in self._dispatcher.retry_rules
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
        self._events.publish(
            AttemptStarted(
                attempt.attempt_id,
                upstream.upstream_id,
                routed,
                self.attempts_made,
                now_ms,
            ),
        )
        return Send(upstream, self.attempts_made, routed.deadline_ms)

    def _close(
        self,
        outcome: Outcome,
        refusal: Refusal | None,
        now_ms: float,
    ) -> Finish:
        if outcome is Outcome.NOT_RUN and self._may_have_run:
            # An earlier attempt was lost, so the last one alone proves
            # nothing.
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
        self._events.publish(
            CallClosed(
                self.routed,
                outcome,
                refusal,
                now_ms - self._opened_ms,
                now_ms,
                self._request_id,
            ),
        )
        return self._finish


@dataclass(slots=True)
class _CurrentAttempt:
    attempt_id: int
    number: int
    upstream: Upstream
    record: AttemptRecord
    life: AttemptMachine
    sent_ms: float


_ENDINGS: dict[AttemptState, Callable[[AttemptMachine], None]] = {
    AttemptState.ANSWERED: lambda life: life.complete(),
    AttemptState.SHED: lambda life: life.shed(),
    AttemptState.UNSENT_FAILURE: lambda life: life.fail_unsent(),
    AttemptState.LOST: lambda life: life.lose(),
}
