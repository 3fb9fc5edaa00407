"""One node's static share of what a cold upstream bears."""

from dataclasses import dataclass

from figdoor_decisions.gossip import fleet_size
from figdoor_decisions.load_probing import FreshLoads
from figdoor_kernel import (
    ALLOW,
    DENY,
    AttemptSent,
    CandidateRule,
    Extension,
    InstanceId,
    Node,
    RoutedCall,
    Upstream,
    UpstreamId,
    Verdict,
    VmListChanged,
)

MS_PER_SECOND = 1000


def share_interval_ms(cold_per_s: float, nodes: int) -> float:
    """Return the time between two requests of one node to a cold upstream.

    For 6 requests a second and 24 nodes it is 4 s::

        >>> share_interval_ms(6, 24)
        4000.0
    """
    return MS_PER_SECOND * nodes / cold_per_s


@dataclass(slots=True)
class _Turn:
    """From when on a node may send to one start of an upstream."""

    instance: InstanceId
    next_ms: float


class ColdRateRule(CandidateRule):
    """Lets one request pass for each share of the rate.

    Each node begins at a random time of its interval, so that the fleet does
    not send all first requests at once. Nothing is saved up: a node that did
    not send for a while may still send only one.
    """

    def __init__(self, node: Node) -> None:
        """Follow sent attempts."""
        self._node = node
        self._loads: FreshLoads = node.part(Extension.SERVICE, 'fresh-loads')
        self._turns: dict[UpstreamId, _Turn] = {}
        node.events.subscribe(AttemptSent, self._on_sent)
        node.events.subscribe(VmListChanged, self._on_vm_list)

    def evaluate(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        now_ms: float,
    ) -> Verdict:
        """Allow warm upstreams, and cold ones at this node's turn."""
        if not self._loads.is_cold(upstream, now_ms):
            return ALLOW
        cold_per_s = routed.pool.cold_per_s
        if not cold_per_s:
            return DENY
        turn = self._turns.get(upstream.upstream_id)
        if turn is None or turn.instance != upstream.instance:
            interval_ms = self._interval_ms(cold_per_s)
            first_ms = now_ms + self._node.random.random() * interval_ms
            turn = _Turn(upstream.instance, first_ms)
            self._turns[upstream.upstream_id] = turn
        return ALLOW if now_ms >= turn.next_ms else DENY

    def _interval_ms(self, cold_per_s: float) -> float:
        return share_interval_ms(cold_per_s, fleet_size(self._node))

    def _on_sent(self, event: AttemptSent) -> None:
        turn = self._turns.get(event.upstream)
        if turn is not None:
            interval_ms = self._interval_ms(event.routed.pool.cold_per_s)
            turn.next_ms = event.now_ms + interval_ms

    def _on_vm_list(self, event: VmListChanged) -> None:
        self._node.fleet.drop_unlisted(self._turns)
