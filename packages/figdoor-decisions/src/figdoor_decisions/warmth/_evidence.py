"""Warmth evidence: upstreams that this node may send to without a permit."""

from collections.abc import Callable

from figdoor_decisions.warmth._bounds import ServiceBounds
from figdoor_decisions.warmth._collector import EvidenceCollector
from figdoor_decisions.warmth._record import UNREPORTED_INSTANCE, WarmthRecord
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

# A constant, since the look-up of an enum member is slow (as for
# ``figdoor_kernel.ALLOW``).
_SERVING = UpstreamState.SERVING


class WarmthEvidence(Service):
    """Keeps one record for each upstream that this node has dealt with.

    A warm claim alone is not enough to send without a permit: the instance
    may have been replaced between the claim and the first request, and only
    a node with an open connection notices that. The first request on a new
    connection therefore always counts towards the cold allowance.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to all events that show whether an upstream is warm."""
        self._node = node
        self.bounds = ServiceBounds(node)
        self.records: dict[UpstreamId, WarmthRecord] = {}
        self._cold_hooks: list[ColdHook] = []
        self._collector = EvidenceCollector(node, self)

    def add_cold_hook(self, hook: ColdHook) -> None:
        """Call ``hook`` whenever an upstream turns cold.

        The instance is empty where it is not known, and where the upstream
        has left service.
        """
        self._cold_hooks.append(hook)

    def record_of(self, upstream_id: UpstreamId) -> WarmthRecord | None:
        """Return the record of a listed upstream, created on first use."""
        record = self.records.get(upstream_id)
        if record is None:
            upstream = self._node.fleet.find(upstream_id)
            if upstream is not None:
                record = WarmthRecord(upstream)
                self.records[upstream_id] = record
                if not self.bounds.in_service(upstream):
                    record.machine.leave_service()
        return record

    def is_warm(self, upstream: Upstream, now_ms: float) -> bool:
        """Return whether this node may send to it without a permit.

        An upstream whose evidence has expired turns cold.
        """
        record = self.records.get(upstream.upstream_id)
        if record is None or record.current.state is not _SERVING:
            return False
        if now_ms - record.evidence_at_ms <= self._node.options.evidence_ms:
            return True
        record.claimed = None
        self.apply_input(record, record.machine.turn_cold, now_ms)
        return False

    def connected_instance(self, upstream_id: UpstreamId) -> InstanceId:
        """Return the instance at the open connections, empty without one."""
        record = self.records.get(upstream_id)
        return (record and record.connected) or InstanceId('')

    def warm_instance(
        self,
        upstream_id: UpstreamId,
        now_ms: float,
    ) -> InstanceId:
        """Return the instance known to be warm, empty without evidence."""
        record = self.records.get(upstream_id)
        if record is None or record.claimed is None:
            return InstanceId('')
        if now_ms - record.evidence_at_ms > self._node.options.evidence_ms:
            return InstanceId('')
        return record.claimed

    def accept_claim(
        self,
        upstream_id: UpstreamId,
        instance: InstanceId,
        now_ms: float,
        ramp_completed: bool = False,
    ) -> None:
        """Record that an instance is warm, unless other evidence contradicts.

        The claim is ignored where this node is connected to another instance,
        or where this instance turned cold within ``LATE_CLAIM_WINDOW_MS``.
        The latter does not apply to ``ramp_completed``, with which this node,
        as the owner, records a ramp-up that it has just completed.
        """
        record = self.record_of(upstream_id)
        if record is None or record.current.state is UpstreamState.GONE:
            return
        if record.connected not in {None, instance}:
            return
        if record.turned_cold_recently(instance, now_ms) and not ramp_completed:
            return
        record.claimed = instance
        record.evidence_at_ms = now_ms
        self.serve_if_warm(record, now_ms)

    def accept_peer_claim(
        self,
        upstream_id: UpstreamId,
        instance: InstanceId,
        now_ms: float,
    ) -> None:
        """Record that a peer knows an instance to be warm.

        The peer may have missed that the instance turned cold. A claim for
        an instance that did is therefore ignored for as long as evidence
        lasts, and only a ramp-up shows that it is warm again.
        """
        record = self.record_of(upstream_id)
        lifetime_ms = self._node.options.evidence_ms
        if record is None or not instance:
            return
        if not record.turned_cold_recently(instance, now_ms, lifetime_ms):
            self.accept_claim(upstream_id, instance, now_ms)

    def record_answer(self, record: WarmthRecord, now_ms: float) -> None:
        """Record that an instance answered on an open connection."""
        record.connected = record.reported or UNREPORTED_INSTANCE
        if record.is_connected_to_warm:
            record.evidence_at_ms = now_ms
        # An answer does not change the state of a serving upstream.
        if record.current.state is not _SERVING:
            self.apply_input(record, record.machine.answer, now_ms)
            self.serve_if_warm(record, now_ms)

    def serve_if_warm(self, record: WarmthRecord, now_ms: float) -> None:
        """Go from warming to serving if the connected instance is warm."""
        if (
            record.is_connected_to_warm
            and record.current.state is UpstreamState.WARMING
        ):
            self.apply_input(record, record.machine.confirm_warm, now_ms)

    def turn_cold(self, record: WarmthRecord, now_ms: float) -> None:
        """Discard the claim and broadcast that the upstream is cold.

        The update names the instance, so that a late one does not discard a
        claim for its successor. It is empty where this node knows none.
        """
        instance = (
            record.claimed
            or record.connected
            or record.reported
            or InstanceId('')
        )
        was_announced = record.turned_cold_recently(instance, now_ms)
        had_claim = record.claimed is not None
        self.discard_claim(record, instance, now_ms)
        if had_claim or not was_announced:
            update = UpstreamTurnedCold(record.upstream.upstream_id, instance)
            self._node.events.publish(BroadcastRequested(update, now_ms))

    def discard_claim(
        self,
        record: WarmthRecord,
        instance: InstanceId,
        now_ms: float,
    ) -> None:
        """Discard the claim for an instance, which has turned cold."""
        record.claimed = None
        record.cold_instance = instance
        record.cold_at_ms = now_ms
        record.last_failure_ms = None
        for hook in self._cold_hooks:
            hook(record.upstream.upstream_id, instance)
        if record.current.state is not UpstreamState.GONE:
            self.apply_input(record, record.machine.turn_cold, now_ms)

    def remove_from_service(self, record: WarmthRecord, now_ms: float) -> None:
        """Discard all evidence about an upstream that has left service."""
        record.discard_evidence()
        for hook in self._cold_hooks:
            hook(record.upstream.upstream_id, InstanceId(''))
        self.apply_input(record, record.machine.leave_service, now_ms)

    def apply_input(
        self,
        record: WarmthRecord,
        send_input: Callable[[], None],
        now_ms: float,
    ) -> None:
        """Run the state machine and publish the state if it changed."""
        before = record.current.state
        send_input()
        state = record.current.state
        if state is not before:
            upstream_id = record.upstream.upstream_id
            self._node.events.publish(
                UpstreamStateChanged(upstream_id, state, now_ms),
            )
