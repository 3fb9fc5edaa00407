"""Ejects upstreams that fail repeatedly, for a limited time."""

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

# A single failure is often caused by the request.
CONSECUTIVE_FAILURES = 2
# One in this many upstreams in service may be ejected. If more of them fail,
# the cause lies in the requests or affects all upstreams, and ejections do not
# help.
EJECTABLE_DIVISOR = 5


def max_ejected(upstreams: int) -> int:
    """Return how many of the upstreams may be ejected at the same time.

    It is at least one, but never the only upstream::

        >>> max_ejected(1), max_ejected(2), max_ejected(20)
        (0, 1, 4)
    """
    return min(upstreams - 1, max(1, upstreams // EJECTABLE_DIVISOR))


class OutlierEjection(CandidateRule):
    """Denies upstreams whose last own attempts failed in a row.

    An upstream that fails fast is always below its caps, so it would receive
    the calls once the others have reached theirs. An ejection lasts 100 ms.
    Each failure after it ejects the upstream again for twice as long, up to a
    second, until an answer without failure. Shed, timed out and cancelled
    attempts do not count. Neither do broken connections, because the cold
    start that follows them already limits the upstream: with both, a pool of
    two had no upstream left.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to own attempts and the VM list."""
        self._fleet = node.fleet
        self._ejections = Backoffs(node)
        self._failures: Counter[UpstreamId] = Counter()
        node.events.subscribe(AttemptEnded, self._on_ended)
        node.events.subscribe(VmListChanged, self._on_vm_list)

    def evaluate(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        now_ms: float,
    ) -> Verdict:
        """Deny while the upstream is ejected."""
        return self._ejections.evaluate(upstream.upstream_id, now_ms)

    def _on_ended(self, event: AttemptEnded) -> None:
        if event.failed:
            self._failures[event.upstream] += 1
            if self._failures[event.upstream] >= CONSECUTIVE_FAILURES:
                self._eject(event)
        elif event.state is AttemptState.ANSWERED:
            self._failures.pop(event.upstream, None)
            self._ejections.reset(event.upstream)

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
        if ejected < max_ejected(len(peers)):
            self._ejections.begin(event.upstream, event.now_ms)

    def _on_vm_list(self, event: VmListChanged) -> None:
        self._fleet.drop_unlisted(self._failures)
