"""Warmth evidence: which upstreams this node may send to without asking."""

from collections.abc import Callable

from figdoor_decisions.warmth._bounds import ServiceBounds
from figdoor_decisions.warmth._record import UNMARKED, WarmthRecord
from figdoor_decisions.warmth._watch import EvidenceWatch
from figdoor_kernel import (
    BroadcastRequested,
    InstanceId,
    Node,
    Service,
    Upstream,
    UpstreamId,
    UpstreamState,
    UpstreamStateChanged,
    UpstreamTurnedCold,
)

ColdHook = Callable[[UpstreamId, InstanceId], None]

# Named here since looking a member up is slow (see ``figdoor_kernel.ALLOW``).
_SERVING = UpstreamState.SERVING


class WarmthEvidence(Service):
    """Keeps one record per upstream that this node had to do with.

    A claim alone is not evidence: between the claim and the first request
    the instance may have been replaced, and only a node with an open
    connection notices that. A node's first request on a new connection
    therefore always goes under the cold allowance.
    """

    def __init__(self, node: Node) -> None:
        """Follow everything that proves or disproves warmth."""
        self._node = node
        self.bounds = ServiceBounds(node)
        self.records: dict[UpstreamId, WarmthRecord] = {}
        self._cold_hooks: list[ColdHook] = []
        self._watch = EvidenceWatch(node, self)

    def on_cold(self, hook: ColdHook) -> None:
        """Call ``hook`` with each upstream and instance that turns cold."""
        self._cold_hooks.append(hook)

    def record(self, upstream_id: UpstreamId) -> WarmthRecord | None:
        """Return the record of a listed upstream, made on first use."""
        found = self.records.get(upstream_id)
        if found is None:
            upstream = self._node.fleet.find(upstream_id)
            if upstream is not None:
                found = WarmthRecord(upstream)
                self.records[upstream_id] = found
                if not self.bounds.in_service(upstream):
                    found.life.leave()
        return found

    def is_warm(self, upstream: Upstream, now_ms: float) -> bool:
        """Return whether any load may be sent that the limits allow."""
        found = self.records.get(upstream.upstream_id)
        if found is None or found.state.state is not _SERVING:
            return False
        if now_ms - found.fresh_at_ms <= self._node.options.evidence_ms:
            return True
        found.claimed = None
        self.publish_change(found, found.life.turn_cold, now_ms)
        return False

    def connected(self, upstream_id: UpstreamId) -> InstanceId:
        """Return the instance at the open connections, empty without one."""
        found = self.records.get(upstream_id)
        return (found and found.connected) or InstanceId('')

    def warm_instance(
        self,
        upstream_id: UpstreamId,
        now_ms: float,
    ) -> InstanceId:
        """Return the instance known to be warm, empty without evidence."""
        found = self.records.get(upstream_id)
        if found is None or found.claimed is None:
            return InstanceId('')
        if now_ms - found.fresh_at_ms > self._node.options.evidence_ms:
            return InstanceId('')
        return found.claimed

    def claim(
        self,
        upstream_id: UpstreamId,
        instance: InstanceId,
        now_ms: float,
        proved: bool = False,
    ) -> None:
        """Take over that an instance is warm, unless it is known better.

        ``proved`` says that this node has just seen the whole ramp itself.
        """
        found = self.record(upstream_id)
        if found is None or found.state.state is UpstreamState.GONE:
            return
        if found.connected not in {None, instance}:
            return
        if found.is_recently_cold(instance, now_ms) and not proved:
            return
        found.claimed = instance
        found.fresh_at_ms = now_ms
        self.settle(found, now_ms)

    def accept_vouch(
        self,
        upstream_id: UpstreamId,
        instance: InstanceId,
        now_ms: float,
    ) -> None:
        """Take over a peer's evidence.

        The peer may have missed that the instance turned cold, so for the
        lifetime of evidence only the ramp can make it warm again.
        """
        found = self.record(upstream_id)
        lifetime_ms = self._node.options.evidence_ms
        if found is None or not instance:
            return
        if not found.is_recently_cold(instance, now_ms, lifetime_ms):
            self.claim(upstream_id, instance, now_ms)

    def answered(self, found: WarmthRecord, now_ms: float) -> None:
        """Take over that an instance answered on an open connection."""
        found.connected = found.mark or UNMARKED
        if found.vouched:
            found.fresh_at_ms = now_ms
        # An upstream that serves goes on serving; the machine need not run.
        if found.state.state is not _SERVING:
            self.publish_change(found, found.life.answer, now_ms)
            self.settle(found, now_ms)

    def settle(self, found: WarmthRecord, now_ms: float) -> None:
        """Serve once the connected instance is the one that is warm."""
        if found.vouched and found.state.state is UpstreamState.WARMING:
            self.publish_change(found, found.life.vouch, now_ms)

    def turn_cold(self, found: WarmthRecord, now_ms: float) -> None:
        """Drop the evidence for warmth and tell all peers.

        The news names the instance, so that a late message cannot void a
        claim for its successor. It is empty where this node knows none.
        """
        instance = (
            found.claimed or found.connected or found.mark or InstanceId('')
        )
        told = found.is_recently_cold(instance, now_ms)
        had_claim = found.claimed is not None
        self.void(found, instance, now_ms)
        if had_claim or not told:
            news = UpstreamTurnedCold(found.upstream.upstream_id, instance)
            self._node.events.publish(BroadcastRequested(news, now_ms))

    def void(
        self,
        found: WarmthRecord,
        instance: InstanceId,
        now_ms: float,
    ) -> None:
        """Drop the claim for an instance."""
        found.claimed = None
        found.cold_instance = instance
        found.cold_at_ms = now_ms
        found.last_failure_ms = None
        for hook in self._cold_hooks:
            hook(found.upstream.upstream_id, instance)
        if found.state.state is not UpstreamState.GONE:
            self.publish_change(found, found.life.turn_cold, now_ms)

    def leave(self, found: WarmthRecord, now_ms: float) -> None:
        """Drop all evidence of an upstream that left service."""
        found.drop()
        for hook in self._cold_hooks:
            hook(found.upstream.upstream_id, InstanceId(''))
        self.publish_change(found, found.life.leave, now_ms)

    def publish_change(
        self,
        found: WarmthRecord,
        signal: Callable[[], None],
        now_ms: float,
    ) -> None:
        """Feed the upstream's life and tell this node of a new state."""
        before = found.state.state
        signal()
        state = found.state.state
        if state is not before:
            upstream_id = found.upstream.upstream_id
            self._node.events.publish(
                UpstreamStateChanged(upstream_id, state, now_ms),
            )
