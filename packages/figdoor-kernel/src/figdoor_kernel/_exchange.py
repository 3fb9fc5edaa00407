"""The path of one call: rules, choice, attempt, and what follows it.

A front end opens an ``Exchange`` for each call, asks it for the next step,
does it, and reports what happened.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from figdoor_kernel._attempts import (
    AttemptLife,
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
    CallWaiting,
    ReportSeen,
)
from figdoor_kernel._fleet import Upstream
from figdoor_kernel._states import (
    ALLOW,
    ASK,
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
        self._wake = wake
        self._tried: set[str] = set()
        self._attempt: _CurrentAttempt | None = None
        self._finish: Finish | None = None
        self._may_have_run = False
        self._is_waiting = False
        self._was_surveyed = False

    def next_step(self, now_ms: float) -> Step:
        """Return what to do now; call it again after each ended attempt."""
        if self._finish is not None:
            return self._finish
        routed = self.routed
        if self._attempt is not None and routed is not None:
            # A second attempt beside the first could run the call twice. The
            # time is never now, or the front end would ask without a pause.
            return Wait(max(routed.deadline_ms, now_ms + MIN_WAIT_MS))
        self._is_waiting = False
        if routed is None:
            has_tables = self._dispatcher.node.tables is not None
            reason = Refusal.NO_ROUTE if has_tables else Refusal.NO_TABLES
            return self._close(Outcome.NOT_RUN, reason, now_ms)
        refusal = self._dispatcher.refusal(routed, self.attempts_made, now_ms)
        if refusal is not None:
            return self._close(Outcome.NOT_RUN, refusal, now_ms)
        return self._seek(routed, now_ms)

    def confirm_send(self, now_ms: float) -> bool:
        """Check all rules once more; call it right before the first byte.

        Time may have passed since the choice, in a connection attempt or
        because the process was paused. Where it returns ``False`` the attempt
        has ended unsent, and ``next_step`` says what follows. Where it raises,
        no byte may leave and the attempt is still to be ended as unsent.
        """
        attempt = self._attempt
        routed = self.routed
        if attempt is None or routed is None:
            return False
        refusal = self._dispatcher.refusal(routed, self.attempts_made, now_ms)
        confirmed = refusal is None and all(
            rule.confirm(attempt.upstream, routed, now_ms)
            for rule in self._dispatcher.candidate_rules
        )
        if not confirmed:
            self.end(AttemptResult(AttemptState.UNSENT_FAILURE), now_ms)
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

    def begin_answer(self) -> None:
        """Note that the head of an answer is being passed on."""
        if self._attempt is not None:
            self._attempt.life.begin_answer()

    def report(self, report: LoadReport, now_ms: float) -> None:
        """Tell all parts what the upstream says of its load."""
        if self._attempt is not None:
            upstream_id = self._attempt.upstream.upstream_id
            self._events.publish(ReportSeen(upstream_id, report, now_ms))

    def end(self, seen: AttemptResult, now_ms: float) -> None:
        """End the current attempt as the transport saw it."""
        attempt = self._attempt
        routed = self.routed
        if attempt is None or routed is None:
            return
        was_answering = attempt.record.state is AttemptState.ANSWERING
        _ENDINGS[seen.state](attempt.life)
        if seen.state is AttemptState.LOST:
            self._may_have_run = True
        self._attempt = None
        self._events.publish(
            AttemptEnded(
                attempt.attempt_id,
                attempt.upstream.upstream_id,
                routed,
                seen.state,
                now_ms - attempt.sent_ms,
                seen.failed,
                seen.connection_died,
                now_ms,
                was_answering,
                seen.final,
            ),
        )
        if was_answering or seen.final or not self._may_retry(seen, now_ms):
            outcome = outcome_of(seen.state) or Outcome.UNKNOWN
            self._close(outcome, None, now_ms)

    def abandon(self, now_ms: float) -> None:
        """End the call because its caller went away or its time is up.

        The current attempt counts as lost once it was sent.
        """
        if self._finish is not None:
            return
        attempt = self._attempt
        if attempt is None:
            self._close(Outcome.NOT_RUN, Refusal.DEADLINE, now_ms)
            return
        unsent = attempt.record.state is AttemptState.UNSENT
        state = AttemptState.UNSENT_FAILURE if unsent else AttemptState.LOST
        self.end(AttemptResult(state, final=True), now_ms)

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

    def _seek(self, routed: RoutedCall, now_ms: float) -> Step:
        dispatcher = self._dispatcher
        allowed = []
        askable = []
        fleet = dispatcher.node.fleet
        for upstream in fleet.of_service(routed.pool.service):
            if upstream.upstream_id in self._tried:
                continue
            verdict = dispatcher.judge(upstream, routed, now_ms)
            if verdict is ALLOW:
                allowed.append(upstream)
            elif verdict is ASK:
                askable.append(upstream)
        if not allowed:
            return self._ask(askable, routed, now_ms)
        until_ms = self._survey(allowed, routed, now_ms)
        if until_ms > now_ms:
            self._is_waiting = True
            return Wait(until_ms)
        chosen = dispatcher.chooser.choose(allowed, routed, now_ms)
        self._was_surveyed = False
        if chosen is None:
            return self._wait_for_room(routed, now_ms)
        return self._start(chosen, routed, now_ms)

    def _survey(
        self,
        allowed: list[Upstream],
        routed: RoutedCall,
        now_ms: float,
    ) -> float:
        """Return until when to wait for news of the candidates."""
        if self._was_surveyed:
            return now_ms
        self._was_surveyed = True
        return max(
            (
                survey.begin(allowed, routed, self._on_permit, now_ms)
                for survey in self._dispatcher.load_surveys
            ),
            default=now_ms,
        )

    def _wait_for_room(self, routed: RoutedCall, now_ms: float) -> Step:
        """Ask again later, or refuse where waiting longer is no use."""
        resumes_ms = [
            survey.resume_ms(routed, now_ms)
            for survey in self._dispatcher.load_surveys
        ]
        times_ms = [known for known in resumes_ms if known is not None]
        if len(times_ms) < len(resumes_ms) or not times_ms:
            return self._close(Outcome.NOT_RUN, Refusal.OVERLOAD, now_ms)
        return Wait(min(*times_ms, routed.deadline_ms))

    def _ask(
        self,
        askable: list[Upstream],
        routed: RoutedCall,
        now_ms: float,
    ) -> Step:
        until_ms = now_ms
        asked = []
        for source in self._dispatcher.permit_sources:
            if askable:
                chosen = self._dispatcher.node.random.choice(askable)
                asked.append(chosen.upstream_id)
                until_ms = max(
                    until_ms,
                    source.ask(chosen, routed, self._on_permit, now_ms),
                )
        until_ms = min(until_ms, routed.deadline_ms)
        if until_ms > now_ms:
            self._is_waiting = True
            waiting = CallWaiting(routed, tuple(asked), until_ms, now_ms)
            self._events.publish(waiting)
            return Wait(until_ms)
        if self._dispatcher.load_surveys:
            return self._wait_for_room(routed, now_ms)
        return self._close(Outcome.NOT_RUN, Refusal.NO_UPSTREAM, now_ms)

    def _on_permit(self) -> None:
        # An answer can come after the wait for it has ended.
        if self._is_waiting:
            self._wake()

    def _start(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        now_ms: float,
    ) -> Send:
        self.attempts_made += 1
        self._tried.add(upstream.upstream_id)
        record = AttemptRecord()
        self._attempt = _CurrentAttempt(
            next(self._dispatcher.attempt_ids),
            upstream,
            record,
            start_attempt(record),
            now_ms,
        )
        self._events.publish(
            AttemptStarted(
                self._attempt.attempt_id,
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
        # Nothing can wake a closed exchange. Without the reference back to
        # its caller it is freed at once and not by the garbage collector.
        self._wake = _no_wake
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
    upstream: Upstream
    record: AttemptRecord
    life: AttemptLife
    sent_ms: float


_ENDINGS: dict[AttemptState, Callable[[AttemptLife], None]] = {
    AttemptState.ANSWERED: lambda life: life.complete(),
    AttemptState.SHED: lambda life: life.shed(),
    AttemptState.UNSENT_FAILURE: lambda life: life.fail_unsent(),
    AttemptState.LOST: lambda life: life.lose(),
}


def _no_wake() -> None:
    """Do nothing."""
