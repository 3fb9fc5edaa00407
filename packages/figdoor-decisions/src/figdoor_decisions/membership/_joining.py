"""When a node that started with an empty memory may accept tables."""

from figdoor_decisions.membership._heartbeats import Heartbeats
from figdoor_kernel import (
    ConfigReadSucceeded,
    Extension,
    Node,
    Revision,
    Service,
    TablesAccepted,
    Tick,
)


class Joining(Service):
    """Holds tables back until the node may put them in force.

    The first tables wait until the node knows the newest revision.

    A neighbour that acknowledges with revision 0 has not joined itself. One
    that has joined knows the newest revision, so more than half of the
    neighbours are enough if one of them has joined: the node itself may be
    one of those that held the newest one and has lost it. Where all
    neighbours answer and none has joined, the whole fleet has started
    together and need not wait.

    Later tables wait until at least half of the neighbours hold them. A
    small part of the fleet that is cut off thus puts nothing in force that
    the others cannot know of; its lease runs out instead.
    """

    def __init__(self, node: Node) -> None:
        """Follow the clock and the service."""
        self._heartbeats: Heartbeats = node.part(
            Extension.SERVICE,
            'heartbeats',
        )
        self._timeout_ms = node.options.join_timeout_ms
        self._started_ms: float | None = None
        self._service_answered = False
        self.joined = False
        node.events.subscribe(Tick, self._on_tick)
        node.events.subscribe(ConfigReadSucceeded, self._on_confirmed)
        node.events.subscribe(TablesAccepted, self._on_accepted)

    def may_accept(self, revision: Revision, now_ms: float) -> bool:
        """Return whether tables of this revision may come into force."""
        if self.joined:
            return self._heartbeats.contacts.hold(revision)
        return self.missing(revision, now_ms) is None

    def missing(self, revision: Revision, now_ms: float) -> str | None:
        """Return what the node waits for, or ``None``."""
        contacts = self._heartbeats.contacts
        acked = contacts.acked()
        newest = max((one.revision for one in acked), default=Revision(0))
        if revision < newest:
            return f'revision {newest} of its neighbours'
        if self._heartbeats.alone:
            return None
        present = contacts.present()
        needed = len(present) // 2 + 1 if present else 0
        if self._timed_out(now_ms) and len(acked) >= needed:
            return None
        needed = needed if newest else len(present)
        if present and len(acked) >= needed:
            return None
        return f'answers of neighbours, {len(acked)} of {len(present)} came'

    def _timed_out(self, now_ms: float) -> bool:
        started_ms = now_ms if self._started_ms is None else self._started_ms
        waited_ms = now_ms - started_ms
        return self._service_answered and waited_ms >= self._timeout_ms

    def _on_tick(self, event: Tick) -> None:
        if self._started_ms is None:
            self._started_ms = event.now_ms

    def _on_confirmed(self, event: ConfigReadSucceeded) -> None:
        self._service_answered = True

    def _on_accepted(self, event: TablesAccepted) -> None:
        self.joined = True
