"""Home nodes: assignment and when a node may act as one."""

from support import (
    confirm,
    give_tables,
    give_vms,
    make_node,
    node_vm,
    upstream_vm,
)

from figdoor_kernel import Extension, Tick, VmState

NAMES = [f'w{number}' for number in range(200)]
NODES = [f'n{number}' for number in range(1, 6)]


def homes_of(node):
    return node.part(Extension.SERVICE, 'homes')


def list_nodes(node, *names, state=VmState.LIVE):
    give_vms(
        node,
        *map(upstream_vm, NAMES),
        *(node_vm(name, state=state) for name in names),
    )


def advance_ms(node, total_ms):
    """Let time pass with ticks and a lease that is kept up."""
    for _ in range(int(total_ms // 100)):
        node.clock.advance_ms(100)
        confirm(node)
        node.events.publish(Tick(node.clock.now_ms()))


class TestAssignment:
    def setup_method(self):
        self.node = make_node()
        self.homes = homes_of(self.node)

    def assigned(self):
        return {name: self.homes.home_of(name) for name in NAMES}

    def test_every_node_computes_the_same_homes_and_shares_them(self):
        list_nodes(self.node, *NODES)
        other = make_node('n2')
        list_nodes(other, *reversed(NODES))
        found = self.assigned()
        assert found == {name: homes_of(other).home_of(name) for name in NAMES}
        assert set(found.values()) == set(NODES)

    def test_a_node_that_leaves_moves_only_its_own_upstreams(self):
        list_nodes(self.node, *NODES)
        before = self.assigned()
        list_nodes(self.node, *NODES[:-1])
        after = self.assigned()
        moved = {name for name in NAMES if before[name] != after[name]}
        assert moved == {name for name in NAMES if before[name] == NODES[-1]}

    def test_incremental_update_equals_a_fresh_computation(self):
        for names in (NODES[:2], NODES, NODES[2:], NODES[:4]):
            list_nodes(self.node, *names)
            fresh = make_node('n9')
            list_nodes(fresh, *names)
            assert self.assigned() == {
                name: homes_of(fresh).home_of(name) for name in NAMES
            }

    def test_leaving_nodes_are_not_homes(self):
        list_nodes(self.node, *NODES, state=VmState.LEAVING)
        assert set(self.assigned().values()) == {None}


class TestActing:
    def setup_method(self):
        self.node = make_node()
        self.homes = homes_of(self.node)
        give_tables(self.node)

    def acting(self):
        now_ms = self.node.clock.now_ms()
        return [
            upstream
            for upstream in self.node.fleet.upstreams()
            if self.homes.acts(upstream, now_ms)
        ]

    def wait(self):
        advance_ms(self.node, self.homes.handover_ms('work') + 100)

    def test_new_home_waits_until_requests_of_the_former_one_have_ended(self):
        list_nodes(self.node, 'n1', 'n2')
        advance_ms(self.node, self.homes.handover_ms('work') - 100)
        assert not self.acting()
        advance_ms(self.node, 200)
        assert 0 < len(self.acting()) < len(NAMES)
        assert self.homes.handover_ms('work') == 5000 + 500 + 1000

    def test_unrelated_change_of_the_list_keeps_the_home_acting(self):
        list_nodes(self.node, 'n1', 'n2')
        self.acting()
        self.wait()
        before = set(self.acting())
        list_nodes(self.node, 'n1', 'n2', 'n3')
        after = set(self.acting())
        assert after and after < before

    def test_upstream_that_moves_away_and_back_waits_again(self):
        list_nodes(self.node, 'n1')
        self.wait()
        assert len(self.acting()) == len(NAMES)
        list_nodes(self.node, 'n2')
        list_nodes(self.node, 'n1')
        assert not self.acting()

    def test_node_that_is_not_listed_as_live_never_acts(self):
        list_nodes(self.node, 'n1', state=VmState.LEAVING)
        self.wait()
        assert not self.acting()
        list_nodes(self.node, 'n2')
        self.wait()
        assert not self.acting()

    def test_node_without_any_listed_node_is_home_of_everything(self):
        list_nodes(self.node)
        self.wait()
        assert len(self.acting()) == len(NAMES)

    def test_lease_that_ran_out_stops_the_home(self):
        list_nodes(self.node, 'n1')
        self.wait()
        self.node.clock.advance_ms(self.node.options.lease_ms + 1)
        self.node.events.publish(Tick(self.node.clock.now_ms()))
        assert not self.acting()

    def test_paused_home_waits_again_even_with_a_new_lease(self):
        list_nodes(self.node, 'n1')
        self.wait()
        self.node.clock.advance_ms(10_000)
        confirm(self.node)
        assert not self.acting()
        self.node.events.publish(Tick(self.node.clock.now_ms()))
        assert not self.acting()
        self.wait()
        assert len(self.acting()) == len(NAMES)
