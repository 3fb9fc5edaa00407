"""Heartbeats to the neighbours and what their acknowledgements prove."""

import math
from collections import deque

from figdoor_decisions.configuration import ConfigLease
from figdoor_decisions.membership._contacts import Contact, Contacts
from figdoor_decisions.membership._flooding import Flooding
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

KEPT_TOKENS = 16
REPEATED_HEARTBEATS = 2
# Half of the neighbours acknowledge each beat unless messages are lost. Beats
# are up to a tenth apart from their interval, since they start with a tick.
LATE_HEARTBEATS = 1.5


class Heartbeats:
    """Asks the neighbours at regular times and whenever tables are accepted.

    Where there are many neighbours, each beat goes to a part of them.

    An acknowledgement counts only with the token of a heartbeat that this
    run of the process sent, and then proves the time of sending.
    """

    def __init__(self, node: Node) -> None:
        """Follow the clock, the VM list and messages of peers."""
        self._node = node
        self._neighbours: Neighbours = node.part(
            Extension.SERVICE,
            'neighbours',
        )
        self._flooding: Flooding = node.part(Extension.SERVICE, 'flooding')
        self._lease: ConfigLease = node.part(Extension.SERVICE, 'config-lease')
        self._tokens: deque[float] = deque(maxlen=KEPT_TOKENS)
        # Nodes that start together spread their heartbeats.
        self._spread_ms = node.random.random() * node.options.heartbeat_ms
        self._next_ms: float | None = None
        self._beats = 0
        self._now_ms: float = 0
        self._told = Revision(0)
        self.contacts = Contacts()
        events = node.events
        events.subscribe(VmListChanged, self._on_vm_list)
        events.subscribe(Tick, self._on_tick)
        events.subscribe(BroadcastRequested, self._on_wanted)
        events.subscribe(TablesPending, self._on_held)
        events.subscribe(PeerMessageReceived, self._on_message)
        events.subscribe(ConfigReadSucceeded, self._on_service_confirmed)
        events.subscribe(ConfigReadFailed, self._on_service_failed)

    def start(self) -> None:
        """Need no start."""

    def stop(self) -> None:
        """Say farewell along all edges."""
        for peer in self._neighbours.edges(self._now_ms):
            self._send(peer, StopNotice())

    @property
    def alone(self) -> bool:
        """Whether the VM list shows this node and no other one present."""
        return self._neighbours.listed and not self.contacts.present()

    def _own_revision(self) -> Revision:
        """Return what this node tells its peers, 0 until it has joined.

        A pair that is held counts: the peers put it in force only once
        enough nodes hold it.
        """
        if self._node.tables is None:
            return Revision(0)
        return self._lease.known_revision

    def _on_vm_list(self, event: VmListChanged) -> None:
        known = set(self.contacts.by_id)
        self.contacts.follow(self._neighbours.on_ring)
        if not known and self.contacts.by_id:
            self._ask_all(event.now_ms)

    def _on_tick(self, event: Tick) -> None:
        self._now_ms = event.now_ms
        if self._next_ms is None:
            self._next_ms = event.now_ms + self._spread_ms
        if event.now_ms >= self._next_ms:
            self._beat(event.now_ms)

    def _on_wanted(self, event: BroadcastRequested) -> None:
        if isinstance(event.update, RevisionAccepted):
            self._tell_revision(event.now_ms)

    def _on_held(self, event: TablesPending) -> None:
        self._tell_revision(event.now_ms)

    def _tell_revision(self, now_ms: float) -> None:
        """Ask along all edges at once, unless this revision was told."""
        revision = self._own_revision()
        if revision <= self._told:
            return
        self._told = revision
        self._ask_all(now_ms)
        for peer in self._neighbours.edges(now_ms):
            if peer not in self.contacts.by_id:
                self._ask(peer, Contact(now_ms), now_ms)

    def _beat(self, now_ms: float) -> None:
        """Ask the neighbours whose turn it is; after losses all, and sooner.

        Without this, leases ran out in half a percent of the time where a
        fifth of the messages was lost.
        """
        interval_ms = self._node.options.heartbeat_ms
        turns = self._neighbours.turns
        if turns > 1 and self._is_late(now_ms):
            turns = 1
            interval_ms /= 2
        self._next_ms = now_ms + interval_ms
        self._beats += 1
        self._ask_some(self._beats % turns, turns, now_ms)

    def _is_late(self, now_ms: float) -> bool:
        acked_ms = self.contacts.confirmed_at_ms()
        late_ms = LATE_HEARTBEATS * self._node.options.heartbeat_ms
        return acked_ms is None or now_ms - acked_ms > late_ms

    def _ask_all(self, now_ms: float) -> None:
        self._ask_some(0, 1, now_ms)

    def _ask_some(self, turn: int, turns: int, now_ms: float) -> None:
        self._tokens.append(now_ms)
        contacts = tuple(self.contacts.by_id.items())
        # A turn of less than half of the neighbours would confirm nothing.
        size = math.ceil(len(contacts) / turns)
        start = turn * size
        for peer, contact in (contacts * turns)[start : start + size]:
            self._ask(peer, contact, now_ms)

    def _ask(self, peer: NodeId, contact: Contact, now_ms: float) -> None:
        overlap_ms = REPEATED_HEARTBEATS * self._neighbours.interval_ms
        since_ms = (contact.acked_ms or 0) - overlap_ms
        listed = self._flooding.recent(since_ms)
        self._send(peer, Heartbeat(now_ms, self._own_revision(), listed))

    def _on_message(self, event: PeerMessageReceived) -> None:
        peer = event.sender
        match event.message:
            case Heartbeat(token_ms, revision):
                self._mark_left(peer, left=False)
                self.contacts.note_revision(peer, revision)
                ack = HeartbeatAck(token_ms, self._own_revision())
                self._send(peer, ack)
                self._compare(peer, revision, event.now_ms)
            case HeartbeatAck(token_ms, revision):
                self._mark_left(peer, left=False)
                self._on_ack(peer, token_ms, revision)
                self._compare(peer, revision, event.now_ms)
            case StopNotice():
                self._mark_left(peer, left=True)

    def _mark_left(self, peer: NodeId, *, left: bool) -> None:
        contact = self.contacts.by_id.get(peer)
        if contact is not None:
            contact.left = left

    def _on_ack(
        self,
        peer: NodeId,
        token_ms: float,
        revision: Revision,
    ) -> None:
        contact = self.contacts.by_id.get(peer)
        if contact is None or token_ms not in self._tokens:
            return
        if contact.acked_ms is None or token_ms >= contact.acked_ms:
            contact.acked_ms = token_ms
            contact.revision = revision

    def _compare(
        self,
        peer: NodeId,
        revision: Revision,
        now_ms: float,
    ) -> None:
        if revision > self._lease.known_revision:
            self._lease.note_newer(revision, now_ms)
            self._node.events.publish(RevisionBehind(peer, revision, now_ms))
            return
        confirmed_at_ms = self.contacts.confirmed_at_ms()
        if confirmed_at_ms is not None:
            self._lease.confirm(confirmed_at_ms)

    def _on_service_confirmed(self, event: ConfigReadSucceeded) -> None:
        """Rely on the service alone only where there are no neighbours.

        It may be stale, and a node that does not hear from its neighbours
        cannot tell.
        """
        if self.contacts.present():
            return
        if event.revision >= self._lease.known_revision:
            self._lease.confirm(event.read_started_ms)

    def _on_service_failed(self, event: ConfigReadFailed) -> None:
        if self.alone and self._node.tables is not None:
            self._lease.confirm(event.read_started_ms)

    def _send(self, peer: NodeId, message: PeerMessage) -> None:
        self._node.events.publish(PeerSendRequested(peer, message))
