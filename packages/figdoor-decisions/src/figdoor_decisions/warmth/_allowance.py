"""The owner's side of cold starts: permits, ramp-up and warm claims."""

import math

from figdoor_decisions.ownership import Ownership
from figdoor_decisions.warmth._evidence import WarmthEvidence
from figdoor_decisions.warmth._ramp import (
    NO_INSTANCE,
    GrantedPermit,
    PermitKey,
    Ramp,
)
from figdoor_kernel import (
    BroadcastRequested,
    Extension,
    InstanceId,
    Node,
    ReportSeen,
    Service,
    UpdateReceived,
    Upstream,
    UpstreamId,
    UpstreamTurnedCold,
    UpstreamWarm,
)


class ColdAllowance(Service):
    """Keeps the cold allowance of each upstream that this node owns.

    It counts the requests that all nodes have in flight to the upstream.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to load reports and updates."""
        self._node = node
        self._ownership: Ownership = node.part(Extension.SERVICE, 'homes')
        self._evidence: WarmthEvidence = node.part(
            Extension.SERVICE,
            'warmth',
        )
        self._ramps: dict[UpstreamId, Ramp] = {}
        self._evidence.add_cold_hook(self._on_cold)
        node.events.subscribe(UpdateReceived, self._on_update)
        node.events.subscribe(ReportSeen, self._on_report)

    def can_grant(
        self,
        upstream: Upstream,
        instance: InstanceId,
        now_ms: float,
    ) -> bool:
        """Return whether one more request may be sent to the upstream.

        ``instance`` is the instance that the sender is connected to.
        """
        if not self._ownership.may_act(upstream, now_ms):
            return False
        if not self._evidence.bounds.in_service(upstream):
            return False
        ramp = self._ramp(upstream.upstream_id, now_ms)
        if instance:
            instance = self._check_instance(upstream, ramp, instance, now_ms)
        if not ramp.granted:
            # No limit is below 1, so the bounds need no look-up.
            return True
        bounds = self._evidence.bounds.of(upstream.service)
        if bounds is None:
            return False
        warm = self._evidence.warm_instance(upstream.upstream_id, now_ms)
        limit = ramp.limit(bounds)
        if warm and warm == instance:
            limit = max(limit, bounds.slots)
        return ramp.can_grant(bounds, instance, limit)

    def grant(
        self,
        upstream: Upstream,
        key: PermitKey,
        permit: GrantedPermit,
        now_ms: float,
    ) -> bool:
        """Count one more request in flight, if the limit allows it."""
        ramp = self._ramp(upstream.upstream_id, now_ms)
        if key in ramp.granted:
            return True
        if not self.can_grant(upstream, permit.instance, now_ms):
            return False
        own = self._evidence.connected_instance(upstream.upstream_id)
        if own and own != permit.instance:
            permit = GrantedPermit(permit.until_ms, NO_INSTANCE)
        ramp.granted[key] = permit
        return True

    def acquire_own(
        self,
        upstream: Upstream,
        attempt_id: int,
        instance: InstanceId,
        now_ms: float,
    ) -> bool:
        """Count an attempt of this node itself, if the limit allows it."""
        key = (self._node.node_id, float(attempt_id))
        return self.grant(
            upstream,
            key,
            GrantedPermit(math.inf, instance),
            now_ms,
        )

    def release_own(
        self,
        upstream_id: UpstreamId,
        attempt_id: int,
        until_ms: float,
    ) -> None:
        """Release an own attempt at ``until_ms``, at once if that is past."""
        ramp = self._ramps.get(upstream_id)
        key = (self._node.node_id, float(attempt_id))
        if ramp is not None and key in ramp.granted:
            ramp.granted[key] = GrantedPermit(
                until_ms,
                ramp.granted[key].instance,
            )

    def release(self, upstream_id: UpstreamId, key: PermitKey) -> bool:
        """Release a permit of a peer; return whether it was still counted."""
        ramp = self._ramps.get(upstream_id)
        return bool(ramp and ramp.granted.pop(key, None))

    def record_success(
        self,
        upstream_id: UpstreamId,
        instance: InstanceId,
        now_ms: float,
    ) -> None:
        """Count an answer; broadcast once the upstream can handle full load."""
        upstream = self._node.fleet.find(upstream_id)
        if upstream is None or not instance:
            return
        bounds = self._evidence.bounds.of(upstream.service)
        if bounds is None or not self._ownership.may_act(upstream, now_ms):
            return
        ramp = self._ramp(upstream_id, now_ms)
        if self._evidence.warm_instance(upstream_id, now_ms) == instance:
            self._evidence.accept_claim(upstream_id, instance, now_ms)
        elif ramp.record_success(bounds, instance):
            self._evidence.accept_claim(
                upstream_id,
                instance,
                now_ms,
                ramp_completed=True,
            )
            update = UpstreamWarm(upstream_id, instance)
            self._node.events.publish(BroadcastRequested(update, now_ms))

    def record_failure(self, upstream_id: UpstreamId) -> None:
        """Restart the count of consecutive successful answers."""
        if upstream_id in self._ramps:
            self._ramps[upstream_id].record_failure()

    def record_shed(self, upstream_id: UpstreamId) -> None:
        """Halve the limit: the upstream refused a request within it."""
        if upstream_id in self._ramps:
            self._ramps[upstream_id].record_shed()

    def _ramp(self, upstream_id: UpstreamId, now_ms: float) -> Ramp:
        since_ms = self._ownership.owner_since_ms(upstream_id) or 0
        ramp = self._ramps.get(upstream_id)
        if ramp is None:
            ramp = Ramp(since_ms)
            self._ramps[upstream_id] = ramp
        # Creates the record: without one, the cold hooks are not called when
        # the upstream leaves service.
        self._evidence.record_of(upstream_id)
        if ramp.since_ms != since_ms:
            ramp.since_ms = since_ms
            ramp.restart()
        if ramp.granted:
            ramp.release_expired(now_ms)
        return ramp

    def _check_instance(
        self,
        upstream: Upstream,
        ramp: Ramp,
        instance: InstanceId,
        now_ms: float,
    ) -> InstanceId:
        """Return the instance that the ramp-up counts for the sender.

        Where this node is connected to another instance, the sender may not
        have noticed a restart yet and is treated like an unconnected node.
        Otherwise an instance that differs from the known one restarts the
        ramp-up, and a claim for the previous one is discarded.
        """
        own = self._evidence.connected_instance(upstream.upstream_id)
        if own and own != instance:
            return NO_INSTANCE
        warm = self._evidence.warm_instance(upstream.upstream_id, now_ms)
        record = self._evidence.record_of(upstream.upstream_id)
        if warm and warm != instance and record is not None:
            self._evidence.discard_claim(record, warm, now_ms)
        if ramp.instance != instance:
            ramp.restart(instance)
        return instance

    def _on_cold(self, upstream_id: UpstreamId, instance: InstanceId) -> None:
        ramp = self._ramps.get(upstream_id)
        if ramp is None:
            return
        if not instance or ramp.instance in {NO_INSTANCE, instance}:
            ramp.restart()

    def _on_update(self, event: UpdateReceived) -> None:
        update = event.update
        # The sender of an update without an instance could not connect. That
        # says nothing about an instance that this node is connected to.
        if isinstance(update, UpstreamTurnedCold) and not update.instance:
            if not self._evidence.connected_instance(update.upstream):
                self._on_cold(update.upstream, NO_INSTANCE)

    def _on_report(self, event: ReportSeen) -> None:
        upstream = self._node.fleet.find(event.upstream)
        ramp = self._ramps.get(event.upstream)
        if upstream is None or ramp is None:
            return
        bounds = self._evidence.bounds.of(upstream.service)
        if bounds is None or not self._ownership.may_act(
            upstream, event.now_ms
        ):
            return
        if self._evidence.warm_instance(event.upstream, event.now_ms):
            return
        # This node grants no more than the limit, so another one grants too.
        if event.report.running > ramp.limit(bounds):
            ramp.record_shed()
