"""The home node's side of cold starts: permits, ramp-up and warm claims."""

import math

from figdoor_decisions.ownership import Ownership
from figdoor_decisions.warmth._evidence import WarmthEvidence
from figdoor_decisions.warmth._ramp import NO_INSTANCE, Grant, GrantKey, Ramp
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
    """Owns the allowances of the upstreams whose home this node is."""

    def __init__(self, node: Node) -> None:
        """Follow reports and news."""
        self._node = node
        self._ownership: Ownership = node.part(Extension.SERVICE, 'homes')
        self._evidence: WarmthEvidence = node.part(
            Extension.SERVICE,
            'warmth',
        )
        self._ramps: dict[UpstreamId, Ramp] = {}
        self._evidence.on_cold(self._on_cold)
        node.events.subscribe(UpdateReceived, self._on_news)
        node.events.subscribe(ReportSeen, self._on_report)

    def has_room(
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
        if not ramp.grants:
            # Every limit is at least 1.
            return True
        bounds = self._evidence.bounds.of(upstream.service)
        if bounds is None:
            return False
        warm = self._evidence.warm_instance(upstream.upstream_id, now_ms)
        limit = ramp.limit(bounds)
        if warm and warm == instance:
            limit = max(limit, bounds.slots)
        return ramp.has_room(bounds, instance, limit)

    def take(
        self,
        upstream: Upstream,
        key: GrantKey,
        grant: Grant,
        now_ms: float,
    ) -> bool:
        """Count one more request in flight, if there is room for it."""
        ramp = self._ramp(upstream.upstream_id, now_ms)
        if key in ramp.grants:
            return True
        if not self.has_room(upstream, grant.instance, now_ms):
            return False
        known = self._evidence.connected(upstream.upstream_id)
        if known and known != grant.instance:
            grant = Grant(grant.until_ms, NO_INSTANCE)
        ramp.grants[key] = grant
        return True

    def take_own(
        self,
        upstream: Upstream,
        attempt_id: int,
        instance: InstanceId,
        now_ms: float,
    ) -> bool:
        """Count an attempt of this node itself."""
        key = (self._node.node_id, float(attempt_id))
        return self.take(upstream, key, Grant(math.inf, instance), now_ms)

    def release_own(
        self,
        upstream_id: UpstreamId,
        attempt_id: int,
        until_ms: float,
    ) -> None:
        """Free an own attempt, at ``until_ms`` if it may still be running."""
        ramp = self._ramps.get(upstream_id)
        key = (self._node.node_id, float(attempt_id))
        if ramp is not None and key in ramp.grants:
            ramp.grants[key] = Grant(until_ms, ramp.grants[key].instance)

    def release(self, upstream_id: UpstreamId, key: GrantKey) -> bool:
        """Free what a peer was granted; return whether it was known."""
        ramp = self._ramps.get(upstream_id)
        return bool(ramp and ramp.grants.pop(key, None))

    def succeed(
        self,
        upstream_id: UpstreamId,
        instance: InstanceId,
        now_ms: float,
    ) -> None:
        """Count an answer; announce the upstream once it bears full load."""
        upstream = self._node.fleet.find(upstream_id)
        if upstream is None or not instance:
            return
        bounds = self._evidence.bounds.of(upstream.service)
        if bounds is None or not self._ownership.may_act(upstream, now_ms):
            return
        ramp = self._ramp(upstream_id, now_ms)
        if self._evidence.warm_instance(upstream_id, now_ms) == instance:
            self._evidence.claim(upstream_id, instance, now_ms)
        elif ramp.succeed(bounds, instance):
            self._evidence.claim(upstream_id, instance, now_ms, proved=True)
            news = UpstreamWarm(upstream_id, instance)
            self._node.events.publish(BroadcastRequested(news, now_ms))

    def fail(self, upstream_id: UpstreamId) -> None:
        """Note a failed attempt."""
        if upstream_id in self._ramps:
            self._ramps[upstream_id].fail()

    def shed(self, upstream_id: UpstreamId) -> None:
        """Note that the upstream refused a request it had a place for."""
        if upstream_id in self._ramps:
            self._ramps[upstream_id].shed()

    def _ramp(self, upstream_id: UpstreamId, now_ms: float) -> Ramp:
        since_ms = self._ownership.owner_since_ms(upstream_id) or 0
        found = self._ramps.get(upstream_id)
        if found is None:
            found = Ramp(since_ms)
            self._ramps[upstream_id] = found
        # Made here so that this node hears when the upstream leaves service.
        self._evidence.record(upstream_id)
        if found.since_ms != since_ms:
            found.since_ms = since_ms
            found.restart()
        if found.grants:
            found.sweep(now_ms)
        return found

    def _check_instance(
        self,
        upstream: Upstream,
        ramp: Ramp,
        instance: InstanceId,
        now_ms: float,
    ) -> InstanceId:
        """Take notice of an instance that an asking node is connected to.

        Where this node has a connection to another one, the asking node may
        be behind and gets only what an unconnected one gets.
        """
        own = self._evidence.connected(upstream.upstream_id)
        if own and own != instance:
            return NO_INSTANCE
        warm = self._evidence.warm_instance(upstream.upstream_id, now_ms)
        record = self._evidence.record(upstream.upstream_id)
        if warm and warm != instance and record is not None:
            self._evidence.void(record, warm, now_ms)
        if ramp.instance != instance:
            ramp.restart(instance)
        return instance

    def _on_cold(self, upstream_id: UpstreamId, instance: InstanceId) -> None:
        ramp = self._ramps.get(upstream_id)
        if ramp is None:
            return
        if not instance or ramp.instance in {NO_INSTANCE, instance}:
            ramp.restart()

    def _on_news(self, event: UpdateReceived) -> None:
        news = event.update
        # A node that knows no instance could not connect. That says nothing
        # about an instance that this node is connected to.
        if isinstance(news, UpstreamTurnedCold) and not news.instance:
            if not self._evidence.connected(news.upstream):
                self._on_cold(news.upstream, NO_INSTANCE)

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
        # This node never grants more than the limit, so another one grants.
        if event.report.running > ramp.limit(bounds):
            ramp.shed()
