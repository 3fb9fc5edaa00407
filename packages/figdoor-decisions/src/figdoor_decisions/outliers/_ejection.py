"""Ejects upstreams that fail again and again, for a while."""

from dataclasses import dataclass, field

from figdoor_decisions.outliers._backoff import Backoff
from figdoor_kernel import (
    AttemptEnded,
    AttemptState,
    CandidateRule,
    Node,
    RoutedCall,
    Upstream,
    UpstreamId,
    Verdict,
    VmListChanged,
    VmState,
)

# One failure is often the request's own fault.
FAILURES_IN_A_ROW = 2
# One in this many upstreams in service. Failures of more than that come
# from the requests or from all upstreams, and ejecting helps neither.
POOL_DIVISOR = 5


def ejectable(upstreams: int) -> int:
    """Return how many of the upstreams may be ejected at a time.

    It is at least one, but never the only upstream::

        >>> ejectable(1), ejectable(2), ejectable(20)
        (0, 1, 4)
    """
    return min(upstreams - 1, max(1, upstreams // POOL_DIVISOR))


@dataclass(slots=True)
class _Failures:
    """Failures in a row at one upstream and the ejection they led to."""

    in_a_row: int = 0
    ejection: Backoff = field(default_factory=Backoff)


class OutlierEjection(CandidateRule):
    """Denies upstreams whose last own attempts all failed.

    An upstream that fails fast is always below its caps, so it would be what
    is left once the others are at theirs. An ejection lasts 100 ms. Each
    failure after it ejects again for twice as long, up to a second, until an
    answer without failure. Sheds, timeouts and cancelled attempts say nothing
    here. Dead connections are left to cold starts, which bound what such an
    upstream gets: with both, a pool of two had none left.
    """

    def __init__(self, node: Node) -> None:
        """Follow own attempts and the VM list."""
        self._fleet = node.fleet
        self._failing: dict[UpstreamId, _Failures] = {}
        node.events.subscribe(AttemptEnded, self._on_ended)
        node.events.subscribe(VmListChanged, self._on_vm_list)

    def judge(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        now_ms: float,
    ) -> Verdict:
        """Deny while ejected."""
        found = self._failing.get(upstream.upstream_id)
        if found is None or found.ejection.is_over(now_ms):
            return Verdict.ALLOW
        return Verdict.DENY

    def _on_ended(self, event: AttemptEnded) -> None:
        if event.failed:
            found = self._failing.setdefault(event.upstream, _Failures())
            found.in_a_row += 1
            if found.in_a_row >= FAILURES_IN_A_ROW:
                self._eject(found, event)
        elif event.state is AttemptState.ANSWERED:
            self._failing.pop(event.upstream, None)

    def _eject(self, found: _Failures, event: AttemptEnded) -> None:
        # Attempts that were under way at the ejection do not lengthen it.
        if not found.ejection.is_over(event.now_ms):
            return
        pool = event.routed.pool
        peers = [
            peer.upstream_id
            for peer in self._fleet.of_service(pool.service)
            if peer.vm_state is VmState.LIVE
            and peer.availability_zone in pool.availability_zones
        ]
        ejected = sum(self._is_ejected(peer, event.now_ms) for peer in peers)
        if ejected < ejectable(len(peers)):
            found.ejection.extend(event.now_ms)

    def _is_ejected(self, upstream_id: UpstreamId, now_ms: float) -> bool:
        found = self._failing.get(upstream_id)
        return found is not None and not found.ejection.is_over(now_ms)

    def _on_vm_list(self, event: VmListChanged) -> None:
        listed = {UpstreamId(vm.vm_id) for vm in event.vm_list.vms}
        for gone in self._failing.keys() - listed:
            self._failing.pop(gone)
