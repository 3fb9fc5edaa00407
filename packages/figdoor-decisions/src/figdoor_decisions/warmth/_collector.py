"""Turns events into evidence for or against the warmth of upstreams."""

from typing import TYPE_CHECKING

from figdoor_decisions.warmth._record import UNREPORTED_INSTANCE, WarmthRecord
from figdoor_kernel import (
    AttemptEnded,
    AttemptState,
    ConnectionsClosed,
    Node,
    ProbeEnded,
    ReportSeen,
    TablesAccepted,
    UpdateReceived,
    UpstreamState,
    UpstreamTurnedCold,
    UpstreamWarm,
    VmListChanged,
)

if TYPE_CHECKING:
    from figdoor_decisions.warmth._evidence import WarmthEvidence


class EvidenceCollector:
    """Updates the warmth evidence on each event about an upstream."""

    def __init__(self, node: Node, evidence: 'WarmthEvidence') -> None:
        """Subscribe to everything that shows an upstream's state."""
        self._node = node
        self._evidence = evidence
        node.events.subscribe(ReportSeen, self._on_report)
        node.events.subscribe(AttemptEnded, self._on_attempt_ended)
        node.events.subscribe(ProbeEnded, self._on_probe_ended)
        node.events.subscribe(ConnectionsClosed, self._on_connections_closed)
        node.events.subscribe(UpdateReceived, self._on_update)
        node.events.subscribe(TablesAccepted, self._on_tables)
        node.events.subscribe(VmListChanged, self._on_vm_list)

    def _on_report(self, event: ReportSeen) -> None:
        record = self._evidence.record_of(event.upstream)
        if record is None or record.current.state is UpstreamState.GONE:
            return
        instance = event.report.instance
        instances = {record.connected, record.claimed, record.reported}
        if instances - {None, UNREPORTED_INSTANCE, instance}:
            self._evidence.turn_cold(record, event.now_ms)
            record.connected = None
        record.reported = instance
        if event.report.draining:
            self._evidence.apply_input(
                record,
                record.machine.drain,
                event.now_ms,
            )

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        record = self._evidence.record_of(event.upstream)
        if record is None or record.current.state is UpstreamState.GONE:
            return
        if event.connection_died:
            self._evidence.turn_cold(record, event.now_ms)
            record.connected = None
            record.reported = None
        elif event.state is AttemptState.ANSWERED:
            self._on_answered(record, event)
        elif event.state is AttemptState.LOST:
            self._on_lost(record, event)

    def _on_lost(self, record: WarmthRecord, event: AttemptEnded) -> None:
        # Callers that disconnect early must not turn a healthy upstream cold.
        if not event.cancelled or record.latency.is_slow(event.latency_ms):
            self._record_failure(record, event.now_ms)

    def _on_answered(self, record: WarmthRecord, event: AttemptEnded) -> None:
        self._evidence.record_answer(record, event.now_ms)
        if event.failed:
            self._record_failure(record, event.now_ms)
        elif self._has_turned_slow(record, event):
            self._evidence.turn_cold(record, event.now_ms)

    def _has_turned_slow(
        self,
        record: WarmthRecord,
        event: AttemptEnded,
    ) -> bool:
        # ``in_flight`` no longer counts the attempt that has just ended.
        in_flight = record.upstream.in_flight + 1
        if not record.latency.add(event.latency_ms, in_flight):
            return False
        record.latency.slow_streak = 0
        return record.claimed is not None

    def _record_failure(self, record: WarmthRecord, now_ms: float) -> None:
        if record.record_failure(now_ms):
            self._evidence.turn_cold(record, now_ms)

    def _on_probe_ended(self, event: ProbeEnded) -> None:
        record = self._evidence.records.get(event.upstream)
        if record is not None and not event.succeeded:
            if record.current.state is not UpstreamState.GONE:
                self._record_failure(record, event.now_ms)

    def _on_connections_closed(self, event: ConnectionsClosed) -> None:
        record = self._evidence.records.get(event.upstream)
        if record is None:
            return
        record.connected = None
        record.reported = None
        if record.current.state is not UpstreamState.GONE:
            self._evidence.apply_input(
                record,
                record.machine.disconnect,
                event.now_ms,
            )

    def _on_update(self, event: UpdateReceived) -> None:
        update = event.update
        if isinstance(update, UpstreamWarm):
            self._evidence.accept_claim(
                update.upstream,
                update.instance,
                event.now_ms,
            )
        elif isinstance(update, UpstreamTurnedCold) and update.instance:
            record = self._evidence.record_of(update.upstream)
            if record is not None and record.claimed in {None, update.instance}:
                self._evidence.discard_claim(
                    record,
                    update.instance,
                    event.now_ms,
                )

    def _on_tables(self, event: TablesAccepted) -> None:
        for record in self._evidence.records.values():
            self._update_service_state(record, event.now_ms)

    def _on_vm_list(self, event: VmListChanged) -> None:
        records = self._evidence.records
        for upstream_id, record in tuple(records.items()):
            listed = self._node.fleet.find(upstream_id)
            if listed is record.upstream:
                self._update_service_state(record, event.now_ms)
            else:
                records.pop(upstream_id)

    def _update_service_state(
        self,
        record: WarmthRecord,
        now_ms: float,
    ) -> None:
        in_service = self._evidence.bounds.in_service(record.upstream)
        is_gone = record.current.state is UpstreamState.GONE
        if in_service and is_gone:
            self._evidence.apply_input(
                record,
                record.machine.return_to_service,
                now_ms,
            )
        elif not in_service and not is_gone:
            self._evidence.remove_from_service(record, now_ms)
