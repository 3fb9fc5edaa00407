"""Whether the platform's balancer should send callers here."""

from figdoor_kernel import (
    Extension,
    Node,
    NodeState,
    NodeStateChanged,
    ReadinessRule,
    Service,
    Tick,
)


class Readiness(Service):
    """Keeps the node's state and the reasons why it is not ready."""

    def __init__(self, node: Node) -> None:
        """Follow the clock."""
        self._node = node
        self._acceptance = node.part(Extension.SERVICE, 'acceptance')
        self._rules: tuple[ReadinessRule, ...] = node.parts(
            Extension.READINESS_RULE,
        )
        self.state = NodeState.STARTING
        node.events.subscribe(Tick, self._on_tick)

    def move(self, state: NodeState, now_ms: float) -> None:
        """Change the state and tell all parts."""
        if state is not self.state:
            self.state = state
            self._node.events.publish(NodeStateChanged(state, now_ms))

    def reasons(self, now_ms: float) -> tuple[str, ...]:
        """Return why the node is not ready; empty where it is."""
        tables = self._node.tables
        if self.state in {NodeState.STOPPING, NodeState.STOPPED}:
            return ('stopping',)
        if tables is None:
            return (f'starting: waits for {self._missing(now_ms)}',)
        reasons = (rule.unready_reason(now_ms) for rule in self._rules)
        found = [reason for reason in reasons if reason is not None]
        bound = tables.fleet_availability_zones
        zone = self._node.availability_zone
        if bound is not None and zone not in bound:
            found.append(f'availability zone {zone} is out of service')
        return tuple(found)

    def _missing(self, now_ms: float) -> str:
        return self._acceptance.wait_reason(now_ms) or 'the next tick'

    def _on_tick(self, event: Tick) -> None:
        if self.state in {NodeState.STOPPING, NodeState.STOPPED}:
            return
        reasons = self.reasons(event.now_ms)
        if not reasons:
            self.move(NodeState.READY, event.now_ms)
        elif self.state is NodeState.READY:
            self.move(NodeState.UNREADY, event.now_ms)
