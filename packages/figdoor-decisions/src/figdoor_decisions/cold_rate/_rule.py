"""One node's equal share of the request rate of a cold upstream."""

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
# Beyond this, the times of unlisted upstreams are dropped. It is well above the
# number of upstreams of the largest deployment.
MAX_SCHEDULED = 10_000


def send_interval_ms(cold_per_s: float, nodes: int) -> float:
    """Return the time between two requests of one node to a cold upstream.

    All nodes together send at most ``cold_per_s`` requests a second. For 6
    requests a second and 24 nodes the interval is 4 s::

        >>> send_interval_ms(6, 24)
        4000.0
    """
    return MS_PER_SECOND * nodes / cold_per_s


@dataclass(slots=True)
class _ScheduledSend:
    """The time from which this node may send to an upstream instance.

    ``cold_until_ms`` is the end of the cold period in which it was last used.
    """

    instance: InstanceId
    at_ms: float
    cold_until_ms: float


class ColdRateRule(CandidateRule):
    """Allows one request to a cold upstream per send interval.

    The first send is scheduled at a random time within the interval, so that
    the nodes do not all send at once. Unused intervals do not add up: a node
    that has not sent for a while may still send only one request. A time that
    has passed when the upstream turns cold again is drawn anew. Otherwise all
    nodes could send at the beginning of the second cold period. The time is
    kept while the upstream is not listed: drawn anew with each listing, the
    times of all nodes would cluster for an upstream that comes and goes.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to sent attempts and to changes of the VM list."""
        self._node = node
        self._loads: FreshLoads = node.part(Extension.SERVICE, 'fresh-loads')
        self._scheduled: dict[UpstreamId, _ScheduledSend] = {}
        node.events.subscribe(AttemptSent, self._on_attempt_sent)
        node.events.subscribe(VmListChanged, self._on_vm_list)

    def evaluate(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        now_ms: float,
    ) -> Verdict:
        """Allow warm upstreams, and cold ones from the scheduled time on."""
        cold_until_ms = self._loads.cold_until_ms(upstream)
        if cold_until_ms <= now_ms:
            return ALLOW
        cold_per_s = routed.pool.cold_per_s
        if not cold_per_s:
            return DENY
        scheduled = self._scheduled.get(upstream.upstream_id)
        if (
            scheduled is None
            or scheduled.instance != upstream.instance
            or now_ms >= max(scheduled.cold_until_ms, scheduled.at_ms)
        ):
            first_ms = now_ms + self._node.random.random() * self._interval_ms(
                cold_per_s
            )
            scheduled = _ScheduledSend(
                upstream.instance, first_ms, cold_until_ms
            )
            self._scheduled[upstream.upstream_id] = scheduled
        scheduled.cold_until_ms = max(scheduled.cold_until_ms, cold_until_ms)
        return ALLOW if now_ms >= scheduled.at_ms else DENY

    def _interval_ms(self, cold_per_s: float) -> float:
        return send_interval_ms(cold_per_s, fleet_size(self._node))

    def _on_attempt_sent(self, event: AttemptSent) -> None:
        scheduled = self._scheduled.get(event.upstream)
        if scheduled is not None:
            interval_ms = self._interval_ms(event.routed.pool.cold_per_s)
            scheduled.at_ms = event.now_ms + interval_ms

    def _on_vm_list(self, event: VmListChanged) -> None:
        if len(self._scheduled) > MAX_SCHEDULED:
            self._node.fleet.drop_unlisted(self._scheduled)
