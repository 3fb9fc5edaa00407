"""Honours the pauses that upstreams ask for when they shed calls."""

from dataclasses import dataclass

from figdoor_kernel import (
    ALLOW,
    DENY,
    BackoffRequested,
    CandidateRule,
    InstanceId,
    Node,
    RoutedCall,
    ServiceName,
    Tick,
    Upstream,
    UpstreamId,
    Verdict,
    VmState,
)


@dataclass(frozen=True, slots=True)
class _Pause:
    """The instance that asked for a pause, and the end of the pause."""

    instance: InstanceId
    until_ms: float


class RequestedBackoff(CandidateRule):
    """Denies upstreams until the end of the pause that they asked for.

    A pause applies to one instance: one that starts later has asked for
    nothing. It is kept while the upstream is not listed, since its entry may
    return before the pause ends.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to the requests of upstreams, and to ticks."""
        self._fleet = node.fleet
        self._pauses: dict[UpstreamId, _Pause] = {}
        node.events.subscribe(BackoffRequested, self._on_requested)
        node.events.subscribe(Tick, self._on_tick)

    def evaluate(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        now_ms: float,
    ) -> Verdict:
        """Deny during the pause."""
        return DENY if self._end_ms(upstream) > now_ms else ALLOW

    def service_resumes_ms(self, service: ServiceName, now_ms: float) -> float:
        """Return when the first upstream of a service may be used again.

        It is ``now_ms`` unless all live upstreams have asked for a pause.
        """
        if not self._pauses:
            return now_ms
        ends_ms = (
            self._end_ms(upstream)
            for upstream in self._fleet.of_service(service)
            if upstream.vm_state is VmState.LIVE
        )
        return max(now_ms, min(ends_ms, default=now_ms))

    def _end_ms(self, upstream: Upstream) -> float:
        pause = self._pauses.get(upstream.upstream_id)
        if pause is None or pause.instance != upstream.instance:
            return float('-inf')
        return pause.until_ms

    def _on_requested(self, event: BackoffRequested) -> None:
        upstream = self._fleet.find(event.upstream)
        if upstream is None:
            return
        # A later response may ask for less; the first one still holds.
        until_ms = max(self._end_ms(upstream), event.now_ms + event.duration_ms)
        self._pauses[event.upstream] = _Pause(upstream.instance, until_ms)

    def _on_tick(self, event: Tick) -> None:
        if self._pauses:
            self._pauses = {
                upstream_id: pause
                for upstream_id, pause in self._pauses.items()
                if pause.until_ms > event.now_ms
            }
