"""Owner nodes: assignment to upstreams and when an owner may act.

Two nodes that act as owner of one upstream at the same time would together
send it more than the cold allowance.
"""

from support import (
    confirm_config,
    make_node,
    node_vm,
    publish_tables,
    publish_vm_list,
    upstream_vm,
)

from figdoor_kernel import Extension, Tick, VmState

UPSTREAM_IDS = [f'w{number}' for number in range(200)]
NODE_IDS = [f'n{number}' for number in range(1, 6)]


def ownership_of(node):
    return node.part(Extension.SERVICE, 'homes')


def list_nodes(node, *node_ids, state=VmState.LIVE):
    publish_vm_list(
        node,
        *map(upstream_vm, UPSTREAM_IDS),
        *(node_vm(node_id, state=state) for node_id in node_ids),
    )


def advance_ms(node, total_ms):
    """Advance the clock with a tick and a renewed lease every 100 ms."""
    for _ in range(int(total_ms // 100)):
        node.clock.advance_ms(100)
        confirm_config(node)
        node.events.publish(Tick(node.clock.now_ms()))


class TestAssignment:
    def setup_method(self):
        self.node = make_node()
        self.ownership = ownership_of(self.node)

    def owners(self):
        return {
            upstream_id: self.ownership.owner_of(upstream_id)
            for upstream_id in UPSTREAM_IDS
        }

    def test_nodes_compute_the_same_owners_and_each_owns_some(self):
        list_nodes(self.node, *NODE_IDS)
        other = make_node('n2')
        list_nodes(other, *reversed(NODE_IDS))
        owners = self.owners()
        assert owners == {
            upstream_id: ownership_of(other).owner_of(upstream_id)
            for upstream_id in UPSTREAM_IDS
        }
        assert set(owners.values()) == set(NODE_IDS)

    def test_removed_node_moves_only_the_upstreams_that_it_owned(self):
        list_nodes(self.node, *NODE_IDS)
        before = self.owners()
        list_nodes(self.node, *NODE_IDS[:-1])
        after = self.owners()
        moved = {
            upstream_id
            for upstream_id in UPSTREAM_IDS
            if before[upstream_id] != after[upstream_id]
        }
        assert moved == {
            upstream_id
            for upstream_id in UPSTREAM_IDS
            if before[upstream_id] == NODE_IDS[-1]
        }

    def test_incremental_update_equals_a_full_computation(self):
        for node_ids in (NODE_IDS[:2], NODE_IDS, NODE_IDS[2:], NODE_IDS[:4]):
            list_nodes(self.node, *node_ids)
            new_node = make_node('n9')
            list_nodes(new_node, *node_ids)
            assert self.owners() == {
                upstream_id: ownership_of(new_node).owner_of(upstream_id)
                for upstream_id in UPSTREAM_IDS
            }

    def test_leaving_nodes_own_nothing(self):
        list_nodes(self.node, *NODE_IDS, state=VmState.LEAVING)
        assert set(self.owners().values()) == {None}


class TestActing:
    def setup_method(self):
        self.node = make_node()
        self.ownership = ownership_of(self.node)
        publish_tables(self.node)

    def acting(self):
        """Return the upstreams whose owner this node may act as now."""
        now_ms = self.node.clock.now_ms()
        return [
            upstream
            for upstream in self.node.fleet.upstreams()
            if self.ownership.may_act(upstream, now_ms)
        ]

    def wait_for_handover(self):
        advance_ms(self.node, self.ownership.handover_ms('work') + 100)

    def test_new_owner_waits_until_requests_of_the_previous_one_have_ended(
        self,
    ):
        list_nodes(self.node, 'n1', 'n2')
        advance_ms(self.node, self.ownership.handover_ms('work') - 100)
        assert not self.acting()
        advance_ms(self.node, 200)
        assert 0 < len(self.acting()) < len(UPSTREAM_IDS)
        assert self.ownership.handover_ms('work') == 5000 + 500 + 1000

    def test_owner_keeps_acting_when_the_list_changes_elsewhere(self):
        list_nodes(self.node, 'n1', 'n2')
        self.acting()
        self.wait_for_handover()
        before = set(self.acting())
        list_nodes(self.node, 'n1', 'n2', 'n3')
        after = set(self.acting())
        assert after and after < before

    def test_owner_that_loses_and_regains_an_upstream_waits_again(self):
        list_nodes(self.node, 'n1')
        self.wait_for_handover()
        assert len(self.acting()) == len(UPSTREAM_IDS)
        list_nodes(self.node, 'n2')
        list_nodes(self.node, 'n1')
        assert not self.acting()

    def test_node_that_is_not_listed_as_live_never_acts(self):
        list_nodes(self.node, 'n1', state=VmState.LEAVING)
        self.wait_for_handover()
        assert not self.acting()
        list_nodes(self.node, 'n2')
        self.wait_for_handover()
        assert not self.acting()

    def test_node_owns_every_upstream_when_no_node_is_listed(self):
        list_nodes(self.node)
        self.wait_for_handover()
        assert len(self.acting()) == len(UPSTREAM_IDS)

    def test_owner_with_an_expired_lease_does_not_act(self):
        list_nodes(self.node, 'n1')
        self.wait_for_handover()
        self.node.clock.advance_ms(self.node.options.lease_ms + 1)
        self.node.events.publish(Tick(self.node.clock.now_ms()))
        assert not self.acting()

    def test_owner_waits_again_after_a_pause_even_with_a_new_lease(self):
        list_nodes(self.node, 'n1')
        self.wait_for_handover()
        self.node.clock.advance_ms(10_000)
        confirm_config(self.node)
        assert not self.acting()
        self.node.events.publish(Tick(self.node.clock.now_ms()))
        assert not self.acting()
        self.wait_for_handover()
        assert len(self.acting()) == len(UPSTREAM_IDS)
