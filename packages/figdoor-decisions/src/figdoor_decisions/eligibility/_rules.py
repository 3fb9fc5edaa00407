"""Rules about the availability zone and the state of an upstream."""

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

# A constant, since looking up an enum member is slow (see
# ``figdoor_kernel.ALLOW``).
_LIVE = VmState.LIVE


class AvailabilityZoneRule(CandidateRule):
    """Denies upstreams whose availability zone is out of service.

    The rule uses the tables in force now, not those from when the call was
    opened, so that a waiting call follows newer tables.
    """

    def __init__(self, node: Node) -> None:
        """Use the tables of this node."""
        self._node = node

    def evaluate(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        now_ms: float,
    ) -> Verdict:
        """Allow upstreams in the availability zones in service."""
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

    The draining state is kept per instance and broadcast to all nodes.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to load reports and updates."""
        self._node = node
        self._draining: dict[UpstreamId, InstanceId] = {}
        node.events.subscribe(ReportSeen, self._on_report)
        node.events.subscribe(UpdateReceived, self._on_update)

    def evaluate(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        now_ms: float,
    ) -> Verdict:
        """Allow upstreams that are listed as live and are not draining."""
        listed = self._node.fleet.find(upstream.upstream_id)
        if listed is not upstream or upstream.vm_state is not _LIVE:
            return DENY
        if upstream.upstream_id in self._draining:
            return DENY
        return ALLOW

    def _on_report(self, event: ReportSeen) -> None:
        draining_instance = self._draining.get(event.upstream)
        instance = event.report.instance
        if event.report.draining:
            if draining_instance != instance:
                self._draining[event.upstream] = instance
                update = UpstreamDraining(event.upstream, instance)
                self._node.events.publish(
                    BroadcastRequested(update, event.now_ms)
                )
        elif draining_instance is not None and draining_instance != instance:
            self._draining.pop(event.upstream)

    def _on_update(self, event: UpdateReceived) -> None:
        if isinstance(event.update, UpstreamDraining):
            self._draining[event.update.upstream] = event.update.instance
