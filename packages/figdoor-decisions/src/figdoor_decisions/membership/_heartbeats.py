"""Sends heartbeats to neighbours and renews the config lease by their acks."""

import math
from collections import deque

from figdoor_decisions.configuration import ConfigLease
from figdoor_decisions.membership._flooding import Flooding
from figdoor_decisions.membership._neighbour_states import (
    NeighbourState,
    NeighbourStates,
)
from figdoor_decisions.membership._neighbours import Neighbours
from figdoor_kernel import (
    BroadcastRequested,
    ConfigReadFailed,
    ConfigReadSucceeded,
    Extension,
    Heartbeat,
    HeartbeatAck,
    Node,
    NodeId,
    PeerMessage,
    PeerMessageReceived,
    PeerSendRequested,
    Revision,
    RevisionAccepted,
    RevisionBehind,
    StopNotice,
    TablesPending,
    Tick,
    VmListChanged,
)

MAX_TOKENS = 16
# A heartbeat lists retained updates from this long before the last acknowledged
# heartbeat: the request for an update, or its retransmission, may be lost.
OVERLAP_HEARTBEATS = 2
# Unless messages are lost, half of the neighbours acknowledge in each round.
# Rounds start on a tick, up to a tenth of the interval late.
LATE_AFTER_HEARTBEATS = 1.5


class Heartbeats:
    """Sends heartbeats periodically and whenever tables are read or accepted.

    With many neighbours, each round goes to one group of them.

    An acknowledgement counts only with the token of a heartbeat that this
    process sent. It confirms the tables as of the send time of that heartbeat,
    since it may itself be delayed on its way.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to ticks, VM lists, tables, config reads and messages."""
        self._node = node
        self._neighbours: Neighbours = node.part(
            Extension.SERVICE,
            'neighbours',
        )
        self._flooding: Flooding = node.part(Extension.SERVICE, 'flooding')
        self._lease: ConfigLease = node.part(Extension.SERVICE, 'config-lease')
        self._tokens: deque[float] = deque(maxlen=MAX_TOKENS)
        # Spreads the heartbeats of nodes that start together.
        self._start_offset_ms = node.random.random() * node.options.heartbeat_ms
        self._next_ms: float | None = None
        self._rounds = 0
        self._now_ms: float = 0
        self._announced_revision = Revision(0)
        self.neighbour_states = NeighbourStates()
        events = node.events
        events.subscribe(VmListChanged, self._on_vm_list)
        events.subscribe(Tick, self._on_tick)
        events.subscribe(BroadcastRequested, self._on_broadcast_requested)
        events.subscribe(TablesPending, self._on_tables_pending)
        events.subscribe(PeerMessageReceived, self._on_message)
        events.subscribe(ConfigReadSucceeded, self._on_config_read)
        events.subscribe(ConfigReadFailed, self._on_config_read_failed)

    def start(self) -> None:
        """Do nothing: the first tick schedules the heartbeats."""

    def stop(self) -> None:
        """Send a stop notice to all peers."""
        for peer in self._neighbours.peers(self._now_ms):
            self._send(peer, StopNotice())

    @property
    def is_alone(self) -> bool:
        """Whether the VM list contains this node and no neighbour runs."""
        return (
            self._neighbours.is_listed and not self.neighbour_states.running()
        )

    def _own_revision(self) -> Revision:
        """Return the revision to report to peers, 0 before the node has joined.

        Tables that are pending count as well: the peers put a revision in
        force only once enough nodes have read it.
        """
        if self._node.tables is None:
            return Revision(0)
        return self._lease.known_revision

    def _on_vm_list(self, event: VmListChanged) -> None:
        previous = set(self.neighbour_states.by_id)
        self.neighbour_states.set_neighbours(self._neighbours.on_ring)
        if not previous and self.neighbour_states.by_id:
            self._send_to_all(event.now_ms)

    def _on_tick(self, event: Tick) -> None:
        self._now_ms = event.now_ms
        if self._next_ms is None:
            self._next_ms = event.now_ms + self._start_offset_ms
        if event.now_ms >= self._next_ms:
            self._start_round(event.now_ms)

    def _on_broadcast_requested(self, event: BroadcastRequested) -> None:
        if isinstance(event.update, RevisionAccepted):
            self._announce_revision(event.now_ms)

    def _on_tables_pending(self, event: TablesPending) -> None:
        self._announce_revision(event.now_ms)

    def _announce_revision(self, now_ms: float) -> None:
        """Send heartbeats to all peers, once for each new revision."""
        revision = self._own_revision()
        if revision <= self._announced_revision:
            return
        self._announced_revision = revision
        self._send_to_all(now_ms)
        for peer in self._neighbours.peers(now_ms):
            if peer not in self.neighbour_states.by_id:
                self._send_heartbeat(peer, NeighbourState(now_ms), now_ms)

    def _start_round(self, now_ms: float) -> None:
        """Send heartbeats to the next group of neighbours.

        While acknowledgements are late, the round goes to all neighbours and
        the next one follows after half the interval. Without this, leases were
        expired for 0.5 % of the time when 20 % of the messages were lost.
        """
        interval_ms = self._node.options.heartbeat_ms
        group_count = self._neighbours.group_count
        if group_count > 1 and self._are_acks_late(now_ms):
            group_count = 1
            interval_ms /= 2
        self._next_ms = now_ms + interval_ms
        self._rounds += 1
        self._send_to_group(self._rounds % group_count, group_count, now_ms)

    def _are_acks_late(self, now_ms: float) -> bool:
        acked_ms = self.neighbour_states.confirmed_at_ms()
        late_ms = LATE_AFTER_HEARTBEATS * self._node.options.heartbeat_ms
        return acked_ms is None or now_ms - acked_ms > late_ms

    def _send_to_all(self, now_ms: float) -> None:
        self._send_to_group(0, 1, now_ms)

    def _send_to_group(
        self, group: int, group_count: int, now_ms: float
    ) -> None:
        self._tokens.append(now_ms)
        states = tuple(self.neighbour_states.by_id.items())
        # Rounded up: acks of less than half of the neighbours confirm nothing.
        size = math.ceil(len(states) / group_count)
        start = group * size
        for peer, state in (states * group_count)[start : start + size]:
            self._send_heartbeat(peer, state, now_ms)

    def _send_heartbeat(
        self, peer: NodeId, state: NeighbourState, now_ms: float
    ) -> None:
        overlap_ms = OVERLAP_HEARTBEATS * self._neighbours.interval_ms
        since_ms = (state.acked_ms or 0) - overlap_ms
        sequences = self._flooding.recent_sequences(since_ms)
        self._send(peer, Heartbeat(now_ms, self._own_revision(), sequences))

    def _on_message(self, event: PeerMessageReceived) -> None:
        peer = event.sender
        match event.message:
            case Heartbeat(token_ms, revision):
                self._set_stopped(peer, has_stopped=False)
                self.neighbour_states.record_revision(peer, revision)
                ack = HeartbeatAck(token_ms, self._own_revision())
                self._send(peer, ack)
                self._compare_revision(peer, revision, event.now_ms)
            case HeartbeatAck(token_ms, revision):
                self._set_stopped(peer, has_stopped=False)
                self._on_ack(peer, token_ms, revision)
                self._compare_revision(peer, revision, event.now_ms)
            case StopNotice():
                self._set_stopped(peer, has_stopped=True)

    def _set_stopped(self, peer: NodeId, *, has_stopped: bool) -> None:
        state = self.neighbour_states.by_id.get(peer)
        if state is not None:
            state.has_stopped = has_stopped

    def _on_ack(
        self,
        peer: NodeId,
        token_ms: float,
        revision: Revision,
    ) -> None:
        state = self.neighbour_states.by_id.get(peer)
        if state is None or token_ms not in self._tokens:
            return
        if state.acked_ms is None or token_ms >= state.acked_ms:
            state.acked_ms = token_ms
            state.revision = revision

    def _compare_revision(
        self,
        peer: NodeId,
        revision: Revision,
        now_ms: float,
    ) -> None:
        if revision > self._lease.known_revision:
            self._lease.record_newer(revision, now_ms)
            self._node.events.publish(RevisionBehind(peer, revision, now_ms))
            return
        confirmed_at_ms = self.neighbour_states.confirmed_at_ms()
        if confirmed_at_ms is not None:
            self._lease.confirm(confirmed_at_ms)

    def _on_config_read(self, event: ConfigReadSucceeded) -> None:
        """Renew the lease by the read if no neighbour runs.

        The configuration service may be stale, which only neighbours can show.
        """
        if self.neighbour_states.running():
            return
        if event.revision >= self._lease.known_revision:
            self._lease.confirm(event.read_started_ms)

    def _on_config_read_failed(self, event: ConfigReadFailed) -> None:
        if self.is_alone and self._node.tables is not None:
            self._lease.confirm(event.read_started_ms)

    def _send(self, peer: NodeId, message: PeerMessage) -> None:
        self._node.events.publish(PeerSendRequested(peer, message))
