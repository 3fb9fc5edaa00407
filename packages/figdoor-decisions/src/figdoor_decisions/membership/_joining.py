"""When a node may put tables in force, at its start and later."""

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


class JoinRule(Service):
    """Decides whether pending tables may come into force.

    The first tables stay pending until the node knows the newest revision. A
    neighbour that acknowledges with revision 0 has not joined yet; one that has
    joined knows the newest revision. If at least one neighbour has joined,
    acknowledgements of more than half of all neighbours are enough. Exactly
    half are not, since the node itself may have been among those with the
    newest revision before it restarted. If all neighbours acknowledge and none
    has joined, the whole fleet has just started and there is nothing newer to
    wait for. After ``join_timeout_ms``, once the configuration service has
    answered, more than half are enough even if none of them has joined.

    Later tables stay pending until at least half of the neighbours have read
    them. A small part of the fleet that is cut off thus cannot put tables in
    force that the others do not know; its lease expires instead.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to ticks, config reads and accepted tables."""
        self._heartbeats: Heartbeats = node.part(
            Extension.SERVICE,
            'heartbeats',
        )
        self._timeout_ms = node.options.join_timeout_ms
        self._started_ms: float | None = None
        self._has_service_answered = False
        self.joined = False
        node.events.subscribe(Tick, self._on_tick)
        node.events.subscribe(ConfigReadSucceeded, self._on_config_read)
        node.events.subscribe(TablesAccepted, self._on_accepted)

    def may_accept(self, revision: Revision, now_ms: float) -> bool:
        """Return whether tables of this revision may come into force."""
        if self.joined:
            return self._heartbeats.neighbour_states.quorum_has(revision)
        return self.wait_reason(revision, now_ms) is None

    def wait_reason(self, revision: Revision, now_ms: float) -> str | None:
        """Return what the first tables wait for, ``None`` if for nothing."""
        states = self._heartbeats.neighbour_states
        acknowledged = states.acknowledged()
        newest = max(
            (state.revision for state in acknowledged), default=Revision(0)
        )
        if revision < newest:
            return f'revision {newest} of its neighbours'
        if self._heartbeats.is_alone:
            return None
        running = states.running()
        needed = len(running) // 2 + 1 if running else 0
        if self._has_timed_out(now_ms) and len(acknowledged) >= needed:
            return None
        needed = needed if newest else len(running)
        if running and len(acknowledged) >= needed:
            return None
        return (
            f'acknowledgements of neighbours, {len(acknowledged)} of'
            f' {len(running)} received'
        )

    def _has_timed_out(self, now_ms: float) -> bool:
        started_ms = now_ms if self._started_ms is None else self._started_ms
        waited_ms = now_ms - started_ms
        return self._has_service_answered and waited_ms >= self._timeout_ms

    def _on_tick(self, event: Tick) -> None:
        if self._started_ms is None:
            self._started_ms = event.now_ms

    def _on_config_read(self, event: ConfigReadSucceeded) -> None:
        self._has_service_answered = True

    def _on_accepted(self, event: TablesAccepted) -> None:
        self.joined = True
