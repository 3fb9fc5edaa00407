"""Ejects upstreams that fail again and again, for a while."""

from collections import Counter

from figdoor_decisions.outliers._backoff import Backoffs
from figdoor_kernel import (
    ALLOW,
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
        self._ejections = Backoffs(node)
        self._in_a_row: Counter[UpstreamId] = Counter()
        node.events.subscribe(AttemptEnded, self._on_ended)
        node.events.subscribe(VmListChanged, self._on_vm_list)

    def evaluate(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        now_ms: float,
    ) -> Verdict:
        """Deny while ejected."""
        return self._ejections.evaluate(upstream.upstream_id, now_ms)

    def _on_ended(self, event: AttemptEnded) -> None:
        if event.failed:
            self._in_a_row[event.upstream] += 1
            if self._in_a_row[event.upstream] >= FAILURES_IN_A_ROW:
                self._eject(event)
        elif event.state is AttemptState.ANSWERED:
            self._in_a_row.pop(event.upstream, None)
            self._ejections.forget(event.upstream)

    def _eject(self, event: AttemptEnded) -> None:
        pool = event.routed.pool
        peers = [
            peer.upstream_id
            for peer in self._fleet.of_service(pool.service)
            if peer.vm_state is VmState.LIVE
            and peer.availability_zone in pool.availability_zones
        ]
        ejected = sum(
            self._ejections.evaluate(peer, event.now_ms) is not ALLOW
            for peer in peers
        )
        if ejected < ejectable(len(peers)):
            self._ejections.extend(event.upstream, event.now_ms)

    def _on_vm_list(self, event: VmListChanged) -> None:
        self._fleet.drop_unlisted(self._in_a_row)
