"""Subscribes to events and writes log lines for them."""

from collections.abc import Callable
from typing import Any

from figdoor_gateway.decision_log._calls import CallRecords
from figdoor_gateway.decision_log._errors import PluginErrors
from figdoor_gateway.decision_log._upstreams import UpstreamChanges
from figdoor_gateway.logs import line_writer, write_line
from figdoor_kernel import (
    CallClosed,
    CallersEvicted,
    DependencyChanged,
    ItemRejected,
    ItemsAdvanced,
    MembersChanged,
    Node,
    NodeStateChanged,
    Service,
    SettingsChanged,
    StateReceived,
    StoreRestored,
    TablesAccepted,
    TablesRefused,
    Tick,
    VmListChanged,
    era_of,
    revision_of,
)

MS_PER_SECOND = 1000


class DecisionLog(Service):
    """Writes a line for each call and each change of the known state.

    Known state is the tables, the upstreams, the members, the node's own
    state and the state of its dependencies. Each line has an ``event``, the
    time of the node's clock and the facts behind the decision.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to the events that are logged."""
        self._node = node
        self._calls = CallRecords(node)
        self._plugin_errors = PluginErrors(node)
        self._upstreams = UpstreamChanges(node)
        self._member_count = 0
        self._reported_drops = 0
        self._next_report_ms = float('-inf')
        handlers: tuple[tuple[type[Any], Callable[[Any], None]], ...] = (
            (CallClosed, self._on_closed),
            (TablesAccepted, self._on_accepted),
            (TablesRefused, self._on_refused),
            (ItemRejected, self._on_rejected),
            (ItemsAdvanced, self._on_items),
            (StoreRestored, self._on_restored),
            (StateReceived, self._on_state_received),
            (VmListChanged, self._on_vm_list),
            (MembersChanged, self._on_members),
            (NodeStateChanged, self._on_state),
            (CallersEvicted, self._on_evicted),
            (DependencyChanged, self._on_dependency),
            (SettingsChanged, self._on_settings),
            (Tick, self._on_tick),
        )
        for event_type, handler in handlers:
            node.events.subscribe(event_type, handler)

    def start(self) -> None:
        """Log the start of the process."""
        self._write('start', self._node.clock.now_ms())

    def stop(self) -> None:
        """Log the end of the process."""
        self._write('stop', self._node.clock.now_ms())
        line_writer.flush()

    def _write(self, event: str, now_ms: float, **fields: Any) -> None:
        write_line(
            {
                'event': event,
                'node': self._node.node_id,
                'at_s': round(now_ms / MS_PER_SECOND, 3),
                **fields,
            },
        )

    def _on_closed(self, event: CallClosed) -> None:
        self._write('call', event.now_ms, **self._calls.describe(event))

    def _on_accepted(self, event: TablesAccepted) -> None:
        tables = event.tables
        self._write(
            'tables-accepted',
            event.now_ms,
            revision=tables.revision,
            routes=len(tables.routes),
            evacuated=sorted(tables.evacuated),
        )

    def _on_refused(self, event: TablesRefused) -> None:
        self._write(
            'tables-refused',
            event.now_ms,
            revision=event.revision,
            findings=list(map(str, event.findings)),
        )

    def _on_rejected(self, event: ItemRejected) -> None:
        self._write(
            'item-rejected',
            event.now_ms,
            key=event.key,
            reason=event.reason,
        )

    def _on_items(self, event: ItemsAdvanced) -> None:
        self._write(
            'items',
            event.now_ms,
            before=revision_of(event.before),
            as_of=revision_of(event.as_of),
            era=era_of(event.as_of),
            source=event.source.value,
            peer=event.peer,
            changed=event.changed,
        )

    def _on_restored(self, event: StoreRestored) -> None:
        self._write(
            'store-restored',
            event.now_ms,
            before=revision_of(event.before),
            before_era=era_of(event.before),
            as_of=revision_of(event.as_of),
            era=era_of(event.as_of),
        )

    def _on_state_received(self, event: StateReceived) -> None:
        self._write(
            'state-received',
            event.now_ms,
            peer=event.peer,
            suspects=len(event.state.suspects),
            leaving=len(event.state.leaving),
            settled=event.state.is_settled,
        )

    def _on_vm_list(self, event: VmListChanged) -> None:
        for change in self._upstreams.collect():
            self._write('upstream', event.now_ms, **change)

    def _on_members(self, event: MembersChanged) -> None:
        count = len(event.members)
        if count != self._member_count:
            self._member_count = count
            self._write('members', event.now_ms, nodes=count)

    def _on_state(self, event: NodeStateChanged) -> None:
        self._write('node-state', event.now_ms, state=event.state.value)

    def _on_dependency(self, event: DependencyChanged) -> None:
        self._write(
            'dependency',
            event.now_ms,
            name=event.name,
            state='regained' if event.is_up else 'lost',
            reason=event.reason,
        )

    def _on_evicted(self, event: CallersEvicted) -> None:
        self._write(
            'callers-evicted',
            event.now_ms,
            counts=dict(event.counts),
            held_bytes=event.held_bytes,
            connections=event.connections,
        )

    def _on_settings(self, event: SettingsChanged) -> None:
        self._write('reload', event.now_ms, changed=list(event.names))

    def _on_tick(self, event: Tick) -> None:
        dropped = line_writer.dropped_count - self._reported_drops
        if dropped and event.now_ms >= self._next_report_ms:
            self._reported_drops = line_writer.dropped_count
            self._next_report_ms = event.now_ms + MS_PER_SECOND
            self._write('lines-dropped', event.now_ms, count=dropped)
        line_writer.flush()
