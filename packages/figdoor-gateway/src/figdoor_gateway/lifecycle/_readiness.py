"""Whether the platform's load balancer should send callers to this node."""

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
    """Holds the node's state and the reasons why it is not ready."""

    def __init__(self, node: Node) -> None:
        """Subscribe to ticks."""
        self._node = node
        self._acceptance = node.part(Extension.SERVICE, 'acceptance')
        self._rules: tuple[ReadinessRule, ...] = node.parts(
            Extension.READINESS_RULE,
        )
        self.state = NodeState.STARTING
        node.events.subscribe(Tick, self._on_tick)

    def change_state(self, state: NodeState, now_ms: float) -> None:
        """Change the state and publish the change."""
        if state is not self.state:
            self.state = state
            self._node.events.publish(NodeStateChanged(state, now_ms))

    def reasons(self, now_ms: float) -> tuple[str, ...]:
        """Return why the node is not ready; empty if it is ready."""
        tables = self._node.tables
        if self.state in {NodeState.STOPPING, NodeState.STOPPED}:
            return ('stopping',)
        if tables is None:
            return (f'starting: waits for {self._missing(now_ms)}',)
        results = (rule.unready_reason(now_ms) for rule in self._rules)
        unready = [reason for reason in results if reason is not None]
        zones_in_service = tables.fleet_availability_zones
        zone = self._node.availability_zone
        if zones_in_service is not None and zone not in zones_in_service:
            unready.append(f'availability zone {zone} is out of service')
        return tuple(unready)

    def _missing(self, now_ms: float) -> str:
        return self._acceptance.wait_reason(now_ms) or 'the next tick'

    def _on_tick(self, event: Tick) -> None:
        if self.state in {NodeState.STOPPING, NodeState.STOPPED}:
            return
        reasons = self.reasons(event.now_ms)
        if not reasons:
            self.change_state(NodeState.READY, event.now_ms)
        elif self.state is NodeState.READY:
            self.change_state(NodeState.UNREADY, event.now_ms)
