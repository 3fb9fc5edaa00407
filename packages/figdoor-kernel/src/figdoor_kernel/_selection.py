"""Where a call goes: candidates, news of them, and the choice."""

from collections.abc import Callable, Container
from typing import TYPE_CHECKING

from figdoor_kernel._calls import RoutedCall
from figdoor_kernel._events import CallWaiting
from figdoor_kernel._fleet import Upstream
from figdoor_kernel._ids import UpstreamId
from figdoor_kernel._states import Refusal
from figdoor_kernel._steps import Wait

if TYPE_CHECKING:
    from figdoor_kernel._dispatcher import Dispatcher


class UpstreamSelection:
    """Finds upstreams for the attempts of one call.

    ``wake`` is called when something that the call waits for has come.
    """

    def __init__(
        self,
        dispatcher: 'Dispatcher',
        wake: Callable[[], None],
    ) -> None:
        """Wait for nothing yet."""
        self._dispatcher = dispatcher
        self._wake = wake
        self._is_waiting = False
        self._was_surveyed = False

    def select(
        self,
        routed: RoutedCall,
        tried: Container[UpstreamId],
        now_ms: float,
    ) -> Upstream | Wait | Refusal:
        """Return an upstream, until when to wait, or why there is none."""
        self._is_waiting = False
        allowed, askable = self._dispatcher.candidates(routed, tried, now_ms)
        found = self._choose(allowed, routed, now_ms) if allowed else None
        if found is not None:
            return found
        if allowed:
            return self._wait_for_room(routed, now_ms)
        return self._ask(askable, routed, now_ms)

    def select_for_hedge(
        self,
        routed: RoutedCall,
        tried: Container[UpstreamId],
        now_ms: float,
    ) -> Upstream | Wait | None:
        """Return an upstream that can take a second attempt beside others."""
        allowed, _ = self._dispatcher.candidates(routed, tried, now_ms)
        if not allowed:
            return None
        found = self._choose(allowed, routed, now_ms)
        if found is None or isinstance(found, Wait):
            return found
        rules = self._dispatcher.hedge_rules
        accepted = all(rule.accepts(found, now_ms) for rule in rules)
        return found if accepted else None

    def close(self) -> None:
        """Wait for nothing any more.

        Without the reference back to its caller, a call is freed at once and
        not by the garbage collector.
        """
        self._is_waiting = False
        self._wake = _no_wake

    def _choose(
        self,
        allowed: list[Upstream],
        routed: RoutedCall,
        now_ms: float,
    ) -> Upstream | Wait | None:
        """Choose once there is news of the candidates."""
        until_ms = self._survey(allowed, routed, now_ms)
        if until_ms > now_ms:
            self._is_waiting = True
            return Wait(until_ms)
        self._was_surveyed = False
        return self._dispatcher.chooser.choose(allowed, routed, now_ms)

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
                survey.begin(allowed, routed, self._on_news, now_ms)
                for survey in self._dispatcher.load_probers
            ),
            default=now_ms,
        )

    def _wait_for_room(
        self,
        routed: RoutedCall,
        now_ms: float,
    ) -> Wait | Refusal:
        """Ask again later, or refuse where waiting longer is no use."""
        resumes_ms = [
            survey.resume_ms(routed, now_ms)
            for survey in self._dispatcher.load_probers
        ]
        times_ms = [known for known in resumes_ms if known is not None]
        if len(times_ms) < len(resumes_ms) or not times_ms:
            return Refusal.OVERLOAD
        return Wait(min(*times_ms, routed.deadline_ms))

    def _ask(
        self,
        askable: list[Upstream],
        routed: RoutedCall,
        now_ms: float,
    ) -> Wait | Refusal:
        """Ask for permits to send to one of the upstreams."""
        until_ms = now_ms
        asked = []
        for source in self._dispatcher.permit_sources:
            if askable:
                chosen = self._dispatcher.node.random.choice(askable)
                asked.append(chosen.upstream_id)
                until_ms = max(
                    until_ms,
                    source.request_permit(
                        chosen, routed, self._on_news, now_ms
                    ),
                )
        until_ms = min(until_ms, routed.deadline_ms)
        if until_ms > now_ms:
            self._is_waiting = True
            waiting = CallWaiting(routed, tuple(asked), until_ms, now_ms)
            self._dispatcher.node.events.publish(waiting)
            return Wait(until_ms)
        if self._dispatcher.load_probers:
            return self._wait_for_room(routed, now_ms)
        return Refusal.NO_UPSTREAM

    def _on_news(self) -> None:
        # News can come after the wait for it has ended.
        if self._is_waiting:
            self._wake()


def _no_wake() -> None:
    """Do nothing."""
