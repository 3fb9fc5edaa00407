"""How many requests this node may have in flight at one upstream."""

from dataclasses import dataclass

from figdoor_decisions.limits._sharing import UpstreamSharing
from figdoor_kernel import (
    ALLOW,
    DENY,
    AttemptEnded,
    AttemptState,
    Extension,
    Node,
    ReportSeen,
    RoutedCall,
    Upstream,
    UpstreamId,
    Verdict,
    VmListChanged,
)

# Nodes are not equally busy at the same time, and upstreams queue a few
# requests before they shed. With a cap equal to the fair share, 7% of the calls
# were refused at 80% load.
OVERCOMMIT = 2
SHED_WINDOW_MS = 100.0
# With a cap of 1 after sheds, too many calls were sent to failing upstreams.
MIN_CAP = 2
# A report is of little use after the usual time of a request.
FRESH_REPORT_MS = 10.0


def in_flight_cap(slots: int, nodes: int) -> int:
    """Return one node's share of the slots of an upstream.

    The sum over ``nodes`` is at most ``OVERCOMMIT * max(nodes, slots)``::

        >>> in_flight_cap(6, 1), in_flight_cap(6, 5), in_flight_cap(6, 16)
        (12, 2, 2)
    """
    return max(OVERCOMMIT, OVERCOMMIT * slots // max(1, nodes))


def connection_cap(connections: int, nodes: int) -> int:
    """Return one node's share of the connections of an upstream, at least 1.

    The sum over ``nodes`` is at most ``max(nodes, connections)``.
    """
    return max(1, connections // max(1, nodes))


@dataclass(slots=True)
class _Limit:
    """The cap of one upstream and what it is computed from.

    ``share`` is 0 outside the node's subset. It was computed for ``slots`` and
    is computed again once a new VM list has set ``is_stale``. ``cap`` is the
    share, lowered by sheds. ``report_cap`` is the cap that the load report at
    ``reported_at_ms`` leaves for this node.
    """

    slots: int = 0
    is_stale: bool = False
    share: int = 0
    cap: int = 0
    shed_at_ms: float = float('-inf')
    report_cap: int = 0
    reported_at_ms: float = float('-inf')


class InFlightLimit:
    """Caps own attempts in flight at each upstream of the node's subset.

    A shed lowers the cap by one, at most once per window, since requests that
    were sent together are shed together. Each answer raises it by one, up to
    the share, once a window has passed without a shed.

    Only upstreams that answer report and shed; slow and failing ones do
    neither. A limit that is too strict for the former would therefore direct
    calls to the latter.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to attempts, reports and the VM list."""
        self._fleet = node.fleet
        self._sharing: UpstreamSharing = node.part(Extension.SERVICE, 'sharing')
        self._limits: dict[UpstreamId, _Limit] = {}
        node.events.subscribe(AttemptEnded, self._on_ended)
        node.events.subscribe(ReportSeen, self._on_report)
        node.events.subscribe(VmListChanged, self._on_vm_list)

    def evaluate(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        now_ms: float,
    ) -> Verdict:
        """Allow an attempt that stays within the cap."""
        slots = routed.pool.slots
        limit = self._limits.get(upstream.upstream_id)
        if limit is None or limit.is_stale or limit.slots != slots:
            limit = self._limit_for(upstream, slots)
        # Runs for every upstream of the pool, so the most common case is first.
        if upstream.in_flight >= limit.cap:
            return DENY
        if now_ms - limit.reported_at_ms > FRESH_REPORT_MS:
            return ALLOW
        if upstream.in_flight < limit.report_cap:
            return ALLOW
        return DENY

    def confirm(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        now_ms: float,
    ) -> bool:
        """Apply the cap to attempts that already include this one."""
        limit = self._limit_for(upstream, routed.pool.slots)
        if upstream.in_flight > limit.cap:
            return False
        if now_ms - limit.reported_at_ms > FRESH_REPORT_MS:
            return True
        return upstream.in_flight <= limit.report_cap

    def cap(self, upstream: Upstream, slots: int) -> int:
        """Return the current cap, 0 outside the subset."""
        return self._limit_for(upstream, slots).cap

    def _limit_for(self, upstream: Upstream, slots: int) -> _Limit:
        limit = self._limits.setdefault(upstream.upstream_id, _Limit())
        if limit.is_stale or limit.slots != slots:
            nodes = self._sharing.node_count(upstream)
            share = in_flight_cap(slots, nodes) if nodes else 0
            # A cap that was lowered by sheds is not raised here.
            is_lowered = limit.cap < limit.share
            limit.cap = min(limit.cap, share) if is_lowered else share
            limit.share = share
            limit.slots = slots
            limit.is_stale = False
        return limit

    def _on_ended(self, event: AttemptEnded) -> None:
        limit = self._limits.get(event.upstream)
        if limit is None or event.now_ms - limit.shed_at_ms < SHED_WINDOW_MS:
            return
        if event.state is AttemptState.SHED:
            floor = min(limit.share, MIN_CAP)
            limit.cap = max(floor, limit.cap - 1)
            limit.shed_at_ms = event.now_ms
        elif event.state is AttemptState.ANSWERED:
            limit.cap = min(limit.share, limit.cap + 1)

    def _on_report(self, event: ReportSeen) -> None:
        upstream = self._fleet.find(event.upstream)
        limit = self._limits.get(event.upstream)
        if upstream is not None and limit is not None:
            # The attempt whose answer carries the report has ended at the
            # upstream but still counts as in flight here.
            own_attempts = max(0, upstream.in_flight - 1)
            others = max(0, event.report.running - own_attempts)
            limit.report_cap = OVERCOMMIT * limit.slots - others
            limit.reported_at_ms = event.now_ms

    def _on_vm_list(self, event: VmListChanged) -> None:
        self._fleet.drop_unlisted(self._limits)
        for limit in self._limits.values():
            limit.is_stale = True
