"""Rules about where an upstream is and whether it leaves."""

from figdoor_kernel import (
    ALLOW,
    ANY,
    DENY,
    BroadcastRequested,
    CandidateRule,
    InstanceId,
    Node,
    ReportSeen,
    RoutedCall,
    UpdateReceived,
    Upstream,
    UpstreamDraining,
    UpstreamId,
    Verdict,
    VmState,
)

# Named here since looking a member up is slow (see ``figdoor_kernel.ALLOW``).
_LIVE = VmState.LIVE


class AvailabilityZoneRule(CandidateRule):
    """Denies upstreams whose availability zone is out of service.

    The tables in force now decide, not those that were in force when the
    call was opened, so that a call that waited obeys a newer table.
    """

    def __init__(self, node: Node) -> None:
        """Read the tables of this node."""
        self._node = node

    def evaluate(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        now_ms: float,
    ) -> Verdict:
        """Allow upstreams in the pool's availability zones."""
        tables = self._node.tables
        pool = tables.pools.get(routed.pool.name) if tables else None
        if pool is None or pool.service != upstream.service:
            return DENY
        zones = pool.availability_zones
        zone = upstream.availability_zone
        in_service = zone in zones or ANY in zones
        if in_service and tables is not None and zone not in tables.evacuated:
            return ALLOW
        return DENY


class LeavingRule(CandidateRule):
    """Denies upstreams that leave, by the VM list or by their own report.

    A draining mark belongs to one instance and is told to all peers.
    """

    def __init__(self, node: Node) -> None:
        """Follow load reports and news."""
        self._node = node
        self._draining: dict[UpstreamId, InstanceId] = {}
        node.events.subscribe(ReportSeen, self._on_report)
        node.events.subscribe(UpdateReceived, self._on_news)

    def evaluate(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        now_ms: float,
    ) -> Verdict:
        """Allow upstreams that are listed as live and do not drain."""
        listed = self._node.fleet.find(upstream.upstream_id)
        if listed is not upstream or upstream.vm_state is not _LIVE:
            return DENY
        if upstream.upstream_id in self._draining:
            return DENY
        return ALLOW

    def _on_report(self, event: ReportSeen) -> None:
        known = self._draining.get(event.upstream)
        instance = event.report.instance
        if event.report.draining:
            if known != instance:
                self._draining[event.upstream] = instance
                news = UpstreamDraining(event.upstream, instance)
                self._node.events.publish(
                    BroadcastRequested(news, event.now_ms)
                )
        elif known is not None and known != instance:
            self._draining.pop(event.upstream)

    def _on_news(self, event: UpdateReceived) -> None:
        if isinstance(event.update, UpstreamDraining):
            self._draining[event.update.upstream] = event.update.instance
