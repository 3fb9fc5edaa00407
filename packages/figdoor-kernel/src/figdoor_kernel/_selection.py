"""Selection of an upstream for an attempt, with load probes and permits."""

from collections.abc import Callable, Container
from typing import TYPE_CHECKING

from figdoor_kernel._call_events import CallWaiting
from figdoor_kernel._calls import RoutedCall
from figdoor_kernel._fleet import Upstream
from figdoor_kernel._ids import UpstreamId
from figdoor_kernel._states import Refusal
from figdoor_kernel._steps import Wait

if TYPE_CHECKING:
    from figdoor_kernel._dispatcher import Dispatcher


class UpstreamSelection:
    """Selects upstreams for the attempts of one call.

    ``wake`` is called when probe reports or a permit answer that the call
    waits for have arrived.
    """

    def __init__(
        self,
        dispatcher: 'Dispatcher',
        wake: Callable[[], None],
    ) -> None:
        """Create a selection that is not waiting."""
        self._dispatcher = dispatcher
        self._wake = wake
        self._is_waiting = False
        self._is_held = False
        self._was_probed = False

    def select(
        self,
        routed: RoutedCall,
        tried: Container[UpstreamId],
        now_ms: float,
    ) -> Upstream | Wait | Refusal:
        """Return an upstream, a wait, or the reason why there is none."""
        self._is_waiting = False
        self._is_held = False
        allowed, needing_permit = self._dispatcher.candidates(
            routed, tried, now_ms
        )
        choice = self._choose(allowed, routed, now_ms) if allowed else None
        if choice is not None:
            return choice
        if allowed:
            return self._wait_for_capacity(routed, now_ms)
        return self._request_permits(needing_permit, routed, now_ms)

    def admit(
        self,
        routed: RoutedCall,
        attempts_made: int,
        now_ms: float,
    ) -> Wait | Refusal | None:
        """Return a wait for an admission, a refusal, or ``None`` to go on."""
        wait = self._wait_for_admission(routed, now_ms)
        if wait is not None:
            return wait
        return self._dispatcher.refusal(routed, attempts_made, now_ms)

    def select_for_hedge(
        self,
        routed: RoutedCall,
        tried: Container[UpstreamId],
        now_ms: float,
    ) -> Upstream | Wait | None:
        """Return an upstream for a second attempt, a wait, or ``None``."""
        allowed, _ = self._dispatcher.candidates(routed, tried, now_ms)
        if not allowed:
            return None
        choice = self._choose(allowed, routed, now_ms)
        if choice is None or isinstance(choice, Wait):
            return choice
        rules = self._dispatcher.hedge_rules
        accepted = all(rule.accepts(choice, now_ms) for rule in rules)
        return choice if accepted else None

    def close(self) -> None:
        """Stop waiting and drop the callback.

        This breaks the reference cycle with the front end, so that the call
        is freed at once and not by the garbage collector.
        """
        self._is_waiting = False
        self._is_held = False
        self._wake = _ignore_wake

    def _wait_for_admission(
        self,
        routed: RoutedCall,
        now_ms: float,
    ) -> Wait | None:
        """Return a wait while an admission source needs time for the call."""
        self._is_waiting = False
        until_ms = now_ms
        for source in self._dispatcher.admission_sources:
            until_ms = max(
                until_ms,
                source.request_admission(routed, self._on_result, now_ms),
            )
        until_ms = min(until_ms, routed.deadline_ms)
        if until_ms <= now_ms:
            return None
        self._is_waiting = True
        return Wait(until_ms)

    def _choose(
        self,
        allowed: list[Upstream],
        routed: RoutedCall,
        now_ms: float,
    ) -> Upstream | Wait | None:
        """Choose a candidate, after a wait for load probes if necessary."""
        until_ms = self._probe_loads(allowed, routed, now_ms)
        if until_ms > now_ms:
            self._is_waiting = True
            return Wait(until_ms)
        self._was_probed = False
        return self._dispatcher.chooser.choose(allowed, routed, now_ms)

    def _probe_loads(
        self,
        allowed: list[Upstream],
        routed: RoutedCall,
        now_ms: float,
    ) -> float:
        """Return the time until which to wait for load reports.

        Each choice is preceded by at most one probe round.
        """
        if self._was_probed:
            return now_ms
        self._was_probed = True
        return max(
            (
                prober.begin(allowed, routed, self._on_result, now_ms)
                for prober in self._dispatcher.load_probers
            ),
            default=now_ms,
        )

    def _wait_for_capacity(
        self,
        routed: RoutedCall,
        now_ms: float,
    ) -> Wait | Refusal:
        """Wait for the time that the probers advise, or refuse the call.

        The call is refused if a prober or a queue advises it or there is no
        prober.
        """
        resumes_ms = [
            prober.resume_ms(routed, now_ms)
            for prober in self._dispatcher.load_probers
        ]
        times_ms = [time_ms for time_ms in resumes_ms if time_ms is not None]
        if len(times_ms) < len(resumes_ms) or not times_ms:
            return Refusal.OVERLOAD
        for queue in self._dispatcher.call_queues:
            if not queue.hold(routed, self._on_room, now_ms):
                return Refusal.OVERLOAD
        self._is_held = True
        return Wait(min(*times_ms, routed.deadline_ms))

    def _request_permits(
        self,
        needing_permit: list[Upstream],
        routed: RoutedCall,
        now_ms: float,
    ) -> Wait | Refusal:
        """Request a permit for a random upstream from each source."""
        until_ms = now_ms
        requested = []
        for source in self._dispatcher.permit_sources:
            if needing_permit:
                chosen = self._dispatcher.node.random.choice(needing_permit)
                requested.append(chosen.upstream_id)
                until_ms = max(
                    until_ms,
                    source.request_permit(
                        chosen, routed, self._on_result, now_ms
                    ),
                )
        until_ms = min(until_ms, routed.deadline_ms)
        if until_ms > now_ms:
            self._is_waiting = True
            waiting = CallWaiting(routed, tuple(requested), until_ms, now_ms)
            self._dispatcher.node.events.publish(waiting)
            return Wait(until_ms)
        if self._dispatcher.load_probers:
            return self._wait_for_capacity(routed, now_ms)
        return Refusal.NO_UPSTREAM

    def _on_room(self) -> None:
        # The room may be gone after another probe round.
        if self._is_held:
            self._was_probed = True
            self._wake()

    def _on_result(self) -> None:
        # Results can arrive after the call has stopped waiting for them.
        if self._is_waiting:
            self._wake()


def _ignore_wake() -> None:
    """Do nothing; replaces the callback of a closed selection."""
