"""Turns events into evidence for or against the warmth of upstreams."""

from typing import TYPE_CHECKING

from figdoor_decisions.warmth._record import UNMARKED, WarmthRecord
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


class EvidenceWatch:
    """Subscribes to all events that say something about an upstream."""

    def __init__(self, node: Node, evidence: 'WarmthEvidence') -> None:
        """Follow attempts, reports, connections, news, tables and VMs."""
        self._node = node
        self._evidence = evidence
        node.events.subscribe(ReportSeen, self._on_report)
        node.events.subscribe(AttemptEnded, self._on_ended)
        node.events.subscribe(ProbeEnded, self._on_probe)
        node.events.subscribe(ConnectionsClosed, self._on_closed)
        node.events.subscribe(UpdateReceived, self._on_news)
        node.events.subscribe(TablesAccepted, self._on_tables)
        node.events.subscribe(VmListChanged, self._on_vm_list)

    def _on_report(self, event: ReportSeen) -> None:
        found = self._evidence.record(event.upstream)
        if found is None or found.state.state is UpstreamState.GONE:
            return
        instance = event.report.instance
        known = {found.connected, found.claimed, found.mark}
        if known - {None, UNMARKED, instance}:
            self._evidence.turn_cold(found, event.now_ms)
            found.connected = None
        found.mark = instance
        if event.report.draining:
            self._evidence.publish_change(
                found,
                found.life.drain,
                event.now_ms,
            )

    def _on_ended(self, event: AttemptEnded) -> None:
        found = self._evidence.record(event.upstream)
        if found is None or found.state.state is UpstreamState.GONE:
            return
        if event.connection_died:
            self._evidence.turn_cold(found, event.now_ms)
            found.connected = None
            found.mark = None
        elif event.state is AttemptState.ANSWERED:
            self._on_answered(found, event)
        elif event.state is AttemptState.LOST:
            self._on_lost(found, event)

    def _on_lost(self, found: WarmthRecord, event: AttemptEnded) -> None:
        # Callers that go away turned upstreams cold that work well.
        if not event.cancelled or found.latency.is_slow(event.latency_ms):
            self._fail(found, event.now_ms)

    def _on_answered(self, found: WarmthRecord, event: AttemptEnded) -> None:
        self._evidence.answered(found, event.now_ms)
        if event.failed:
            self._fail(found, event.now_ms)
        elif self._turned_slow(found, event):
            self._evidence.turn_cold(found, event.now_ms)

    def _turned_slow(self, found: WarmthRecord, event: AttemptEnded) -> bool:
        # The fleet has already taken this attempt off the count.
        in_flight = found.upstream.in_flight + 1
        if not found.latency.add(event.latency_ms, in_flight):
            return False
        found.latency.slow_in_a_row = 0
        return found.claimed is not None

    def _fail(self, found: WarmthRecord, now_ms: float) -> None:
        if found.fail(now_ms):
            self._evidence.turn_cold(found, now_ms)

    def _on_probe(self, event: ProbeEnded) -> None:
        found = self._evidence.records.get(event.upstream)
        if found is not None and not event.succeeded:
            if found.state.state is not UpstreamState.GONE:
                self._fail(found, event.now_ms)

    def _on_closed(self, event: ConnectionsClosed) -> None:
        found = self._evidence.records.get(event.upstream)
        if found is None:
            return
        found.connected = None
        found.mark = None
        if found.state.state is not UpstreamState.GONE:
            self._evidence.publish_change(
                found,
                found.life.lose_sight,
                event.now_ms,
            )

    def _on_news(self, event: UpdateReceived) -> None:
        news = event.update
        if isinstance(news, UpstreamWarm):
            self._evidence.claim(news.upstream, news.instance, event.now_ms)
        elif isinstance(news, UpstreamTurnedCold) and news.instance:
            found = self._evidence.record(news.upstream)
            if found is not None and found.claimed in {None, news.instance}:
                self._evidence.void(found, news.instance, event.now_ms)

    def _on_tables(self, event: TablesAccepted) -> None:
        for found in self._evidence.records.values():
            self._follow_service(found, event.now_ms)

    def _on_vm_list(self, event: VmListChanged) -> None:
        records = self._evidence.records
        for upstream_id, found in tuple(records.items()):
            listed = self._node.fleet.find(upstream_id)
            if listed is found.upstream:
                self._follow_service(found, event.now_ms)
            else:
                records.pop(upstream_id)

    def _follow_service(self, found: WarmthRecord, now_ms: float) -> None:
        in_service = self._evidence.bounds.in_service(found.upstream)
        is_gone = found.state.state is UpstreamState.GONE
        if in_service and is_gone:
            self._evidence.publish_change(found, found.life.come_back, now_ms)
        elif not in_service and not is_gone:
            self._evidence.leave(found, now_ms)
