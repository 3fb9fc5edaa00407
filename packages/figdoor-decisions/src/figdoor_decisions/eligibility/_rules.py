"""Rules about the availability zone and the state of an upstream."""

from dataclasses import replace
from itertools import chain

from figdoor_kernel import (
    ALLOW,
    ANY,
    DENY,
    BroadcastRequested,
    CandidateRule,
    InstanceId,
    LeavingSeen,
    Node,
    ReportSeen,
    RoutedCall,
    TransferredState,
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
# Upstreams that have left stay in memory until as many others have followed.
MAX_LEAVING = 4096


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
    """Denies upstreams that leave, by the VM list or by their own word.

    What upstreams say is kept per instance and broadcast to all nodes. It is
    kept while the upstream is not listed, too: an entry can lapse and return
    while the instance that it names is leaving.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to load reports, responses and updates."""
        self._node = node
        self._draining: dict[UpstreamId, InstanceId] = {}
        # Instances as the VM list names them.
        self._leaving: dict[UpstreamId, InstanceId] = {}
        node.events.subscribe(ReportSeen, self._on_report)
        node.events.subscribe(LeavingSeen, self._on_leaving)
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
        upstream_id = upstream.upstream_id
        if upstream_id in self._draining:
            return DENY
        leaving_instance = self._leaving.get(upstream_id)
        # A VM list may name no instances; its upstream is then the one that
        # leaves until a load report shows another instance.
        if leaving_instance is not None and (
            upstream.instance in {leaving_instance, InstanceId('')}
        ):
            return DENY
        return ALLOW

    def add_to(
        self, state: TransferredState, now_ms: float
    ) -> TransferredState:
        """Add the upstreams that leave by their own word."""
        known = chain(self._leaving.items(), self._draining.items())
        leaving = tuple(UpstreamDraining(*row) for row in known)
        return replace(state, leaving=leaving)

    def adopt(self, state: TransferredState, now_ms: float) -> None:
        """Learn of upstreams that leave."""
        for update in state.leaving:
            self._learn(update)

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
        self._drop_replaced(event.upstream, instance)

    def _drop_replaced(
        self, upstream_id: UpstreamId, instance: InstanceId
    ) -> None:
        """Forget a leaving instance if the list names none and it is gone."""
        upstream = self._node.fleet.find(upstream_id)
        if upstream is None or upstream.instance or not instance:
            return
        if self._leaving.get(upstream_id) != instance:
            self._leaving.pop(upstream_id, None)

    def _on_leaving(self, event: LeavingSeen) -> None:
        upstream = self._node.fleet.find(event.upstream)
        if upstream is None:
            return
        if self._leaving.get(event.upstream) != upstream.instance:
            self._keep_leaving(event.upstream, upstream.instance)
            update = UpstreamDraining(event.upstream, upstream.instance)
            self._node.events.publish(BroadcastRequested(update, event.now_ms))

    def _on_update(self, event: UpdateReceived) -> None:
        if isinstance(event.update, UpstreamDraining):
            self._learn(event.update)

    def _learn(self, update: UpstreamDraining) -> None:
        upstream = self._node.fleet.find(update.upstream)
        # The instance is either the one that the VM list names, or that of a
        # load report of an upstream whose instance the list does not name.
        if upstream is None or upstream.instance:
            self._keep_leaving(update.upstream, update.instance)
        else:
            self._draining[update.upstream] = update.instance

    def _keep_leaving(
        self, upstream_id: UpstreamId, instance: InstanceId
    ) -> None:
        self._leaving.pop(upstream_id, None)
        self._leaving[upstream_id] = instance
        if len(self._leaving) > MAX_LEAVING:
            self._leaving.pop(next(iter(self._leaving)))
