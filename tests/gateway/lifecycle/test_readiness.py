"""Readiness: the state of a node and the reasons it reports."""

from support import POOLS, ROUTES, make_node, node_vm, publish_vm_list

from figdoor_gateway.lifecycle import Readiness
from figdoor_kernel import (
    ConfigReadSucceeded,
    Heartbeat,
    HeartbeatAck,
    NodeState,
    PeerMessageReceived,
    PeerSendRequested,
    TablesOffered,
    Tick,
)


class TestReadiness:
    """Guards against callers at a node whose tables may be out of date.

    After a start a node may know only an older revision than its neighbours,
    and a node cut off from the configuration service sees no changes.
    """

    def setup_method(self):
        self.node = make_node('n0')
        self.readiness = Readiness(self.node)

    def read_config(self, after_ms=0):
        self.node.clock.advance_ms(after_ms)
        now_ms = self.node.clock.now_ms()
        events = self.node.events
        events.publish(TablesOffered(1, ROUTES, POOLS, now_ms))
        events.publish(ConfigReadSucceeded(now_ms, 1))
        events.publish(Tick(now_ms))

    def test_node_without_answers_of_its_neighbours_is_starting(self):
        publish_vm_list(self.node, node_vm('n0'), node_vm('n1'))
        self.read_config()
        (reason,) = self.readiness.reasons(self.node.clock.now_ms())
        assert 'acknowledgements of neighbours, 0 of 1 received' in reason
        assert self.readiness.state is NodeState.STARTING

    def test_node_is_ready_once_it_may_accept_its_tables(self):
        publish_vm_list(self.node, node_vm('n0'), node_vm('n1'))
        self.read_config()
        for _ in range(6):
            self.read_config(self.node.options.join_timeout_ms / 6)
        assert self.readiness.state is NodeState.STARTING
        self.node.events.subscribe(PeerSendRequested, self.acknowledge)
        self.read_config(self.node.options.heartbeat_ms)
        self.read_config(50)
        assert self.readiness.state is NodeState.READY

    def acknowledge(self, event):
        if isinstance(event.message, Heartbeat):
            ack = HeartbeatAck(event.message.token_ms, 1)
            now_ms = self.node.clock.now_ms()
            received = PeerMessageReceived(event.target, ack, now_ms)
            self.node.events.publish(received)

    def test_node_with_an_expired_lease_is_unready(self):
        publish_vm_list(self.node, node_vm('n0'))
        self.read_config()
        assert self.readiness.state is NodeState.READY
        self.node.clock.advance_ms(self.node.options.lease_ms + 1)
        self.node.events.publish(Tick(self.node.clock.now_ms()))
        assert self.readiness.state is NodeState.UNREADY
