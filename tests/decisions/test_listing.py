"""The VM list over a fleet: one change, few whole reads, every node in time."""

from collections import Counter
from dataclasses import replace

import pytest
from network import TICK_MS, Network
from support import Recorder, node_vm, upstream_vm

from figdoor_decisions.listing import VmListRead
from figdoor_decisions.listing._differences import (
    Version,
    applied,
    checksum_of,
    difference,
)
from figdoor_decisions.listing._history import MAX_KEPT, History
from figdoor_kernel import (
    Extension,
    FloodedUpdate,
    UpdateReceived,
    VmList,
    VmListChanged,
    VmListDifference,
    VmState,
)

# A read that is due, the wait for differences, and a whole read.
IN_TIME_MS = 3000
LATER_MS = 1000
ROUND_TRIP_MS = 20


class ListedFleet(Network):
    """Nodes that read one platform, each as late as ``lag_ms`` says."""

    def __init__(self, size, workers=600, **options):
        names = [f'n{number}' for number in range(size)]
        super().__init__(*names, **options)
        self.versions = []
        self.whole_reads = Counter()
        self.lag_ms = {}
        self.show(
            *(node_vm(name, f'z{at % 4}') for at, name in enumerate(names)),
            *(upstream_vm(f'w{number}') for number in range(workers)),
        )
        self.advance_ms(2000)
        assert self.all_use(self.versions[-1][2])
        self.whole_reads.clear()

    def show(self, *vms):
        mark = f'"v{len(self.versions)}"'
        self.versions.append((self.clock.now_ms(), mark, VmList(vms)))

    def change(self, vm_id, state=None):
        """Let a VM change its state, or go."""
        vms = [vm for vm in self.versions[-1][2].vms if vm.vm_id != vm_id]
        if state is not None:
            vms.append(upstream_vm(vm_id, state=state))
        self.show(*vms)

    def lists(self, name):
        return self.nodes[name].part(Extension.SERVICE, 'vm-lists')

    def states(self, vm_id):
        """Return the states of an upstream by node."""
        found = {}
        for name, node in self.nodes.items():
            upstream = node.fleet.find(vm_id)
            found[name] = upstream.vm_state if upstream else None
        return found

    def all_use(self, vm_list):
        return all(
            set(node.fleet.vm_list.vms) == set(vm_list.vms)
            for node in self.nodes.values()
        )

    def advance_ms(self, total_ms):
        for _ in range(int(total_ms // TICK_MS)):
            super().advance_ms(TICK_MS)
            for name in self.nodes:
                if name not in self.paused:
                    self.read(name)

    def read(self, name):
        now_ms = self.clock.now_ms()
        planned = self.lists(name).next_read(now_ms)
        if planned is None:
            return
        seen_ms = now_ms - self.lag_ms.get(name, 0)
        past = [each for each in self.versions if each[0] <= seen_ms]
        _, mark, vm_list = (past or self.versions)[-1 if past else 0]
        self.whole_reads[name] += planned is VmListRead.WHOLE
        self.deliver(
            self.nodes[name],
            ROUND_TRIP_MS,
            lambda: self.answer(name, planned, mark, vm_list),
        )

    def answer(self, name, planned, mark, vm_list):
        lists = self.lists(name)
        now_ms = self.clock.now_ms()
        if mark == lists.mark:
            lists.take_unchanged(now_ms)
        elif planned is VmListRead.CHECK:
            lists.take_mark(mark, now_ms)
        else:
            lists.take_whole(mark, vm_list, now_ms)


@pytest.mark.parametrize('size', [20, 40])
class TestChange:
    """A VM that leaves must be known everywhere within 3 s (P7)."""

    def expect_leaving(self, fleet, *but):
        fleet.change('w1', VmState.LEAVING)
        fleet.advance_ms(IN_TIME_MS)
        states = fleet.states('w1')
        late = {name for name in states if states[name] is VmState.LIVE}
        assert late == set(but)

    def test_all_links_work(self, size):
        fleet = ListedFleet(size)
        self.expect_leaving(fleet)
        assert fleet.whole_reads.total() <= 20

    def test_messages_are_lost(self, size):
        fleet = ListedFleet(size)
        fleet.is_lost = lambda *_: fleet.random.random() < 0.5
        self.expect_leaving(fleet)

    def test_no_peer_tells_anything(self, size):
        fleet = ListedFleet(size)
        fleet.is_lost = lambda _, __, message: isinstance(
            message, FloodedUpdate
        )
        self.expect_leaving(fleet)
        assert fleet.whole_reads.total() == size

    def test_fleet_is_split(self, size):
        fleet = ListedFleet(size)
        names = list(fleet.nodes)
        fleet.split(names[: size // 2], names[size // 2 :])
        self.expect_leaving(fleet)
        fleet.heal()
        fleet.change('w1')
        fleet.advance_ms(IN_TIME_MS)
        assert set(fleet.states('w1').values()) == {None}

    def test_readers_are_paused_and_wake_up(self, size):
        fleet = ListedFleet(size)
        paused = list(fleet.nodes)[: size // 2]
        for name in paused:
            fleet.pause(name)
        self.expect_leaving(fleet, *paused)
        for name in paused:
            fleet.resume(name)
        fleet.advance_ms(IN_TIME_MS)
        assert set(fleet.states('w1').values()) == {VmState.LEAVING}

    def test_lagging_reader_brings_no_vm_back(self, size):
        fleet = ListedFleet(size)
        late = ('n0', 'n1', 'n2')
        fleet.lag_ms = dict.fromkeys(late, IN_TIME_MS + LATER_MS)
        shown = {name: [] for name in fleet.nodes}
        for name, node in fleet.nodes.items():
            node.events.subscribe(
                VmListChanged,
                lambda event, name=name: shown[name].append(
                    fleet.states('w1')[name],
                ),
            )
        self.expect_leaving(fleet, *late)
        fleet.advance_ms(2 * IN_TIME_MS)
        assert set(fleet.states('w1').values()) == {VmState.LEAVING}
        for states in shown.values():
            first = states.index(VmState.LEAVING)
            assert VmState.LIVE not in states[first:]

    def test_vm_that_is_listed_again_is_live_again(self, size):
        fleet = ListedFleet(size)
        for state in (VmState.LEAVING, None, VmState.LIVE):
            fleet.change('w1', state)
            fleet.advance_ms(IN_TIME_MS)
            assert set(fleet.states('w1').values()) == {state}
        assert fleet.all_use(fleet.versions[-1][2])

    def test_many_rows_change_between_two_reads(self, size):
        fleet = ListedFleet(size)
        for number in range(40):
            fleet.change(f'w{number}', VmState.LEAVING)
        fleet.advance_ms(IN_TIME_MS)
        assert fleet.all_use(fleet.versions[-1][2])
        assert fleet.whole_reads.total() < 1.5 * size


class TestWrongList:
    @pytest.mark.parametrize('kept', [0, 1])
    def test_wrong_list_is_left_as_soon_as_the_platform_leaves_it(self, kept):
        """An empty list, or one that shows one node only, must not stick."""
        fleet = ListedFleet(20)
        good = fleet.versions[-1][2]
        fleet.show(*good.vms[:kept])
        fleet.advance_ms(IN_TIME_MS)
        fleet.show(*good.vms)
        fleet.advance_ms(IN_TIME_MS)
        assert fleet.all_use(good)

    def test_small_list_is_always_read_whole(self):
        """The fleets of today must not wait for peers."""
        fleet = ListedFleet(20, workers=35)
        fleet.change('w1', VmState.LEAVING)
        fleet.advance_ms(1000)
        assert set(fleet.states('w1').values()) == {VmState.LEAVING}

    def test_platform_without_marks_is_read_whole(self):
        fleet = ListedFleet(20)
        lists = fleet.lists('n1')
        lists.take_mark('', fleet.clock.now_ms())
        fleet.advance_ms(IN_TIME_MS)
        assert fleet.whole_reads['n1'] >= 2

    def test_known_mark_is_an_unchanged_list(self):
        """A platform may answer 200 where 304 would do."""
        fleet = ListedFleet(20)
        node = fleet.nodes['n1']
        changed = Recorder(node, VmListChanged)
        lists = fleet.lists('n1')
        lists.take_mark(lists.mark, fleet.clock.now_ms())
        (event,) = changed.events
        assert event.vm_list is node.fleet.vm_list

    def test_difference_that_does_not_fit_changes_nothing(self):
        """A peer's wrong rows must end in a whole read, not in a list."""
        fleet = ListedFleet(20)
        node = fleet.nodes['n1']
        changed = Recorder(node, VmListChanged)
        old = version('"v0"', *fleet.versions[0][2].vms)
        new = version('"v1"', *old.vm_list.vms[1:])
        (part,) = difference(old, new)
        wrong = replace(part, checksum=part.checksum + 1)
        now_ms = fleet.clock.now_ms()
        fleet.lists('n1').take_mark('"v1"', now_ms)
        node.events.publish(UpdateReceived('n2', wrong, now_ms))
        assert not changed.events
        node.events.publish(UpdateReceived('n2', part, now_ms))
        assert changed.events[0].vm_list == new.vm_list


def version(mark, *vms):
    return Version(mark, VmList(vms), checksum_of(vms))


class TestDifferences:
    def test_parts_lead_to_the_other_version(self):
        old = version('a', *(upstream_vm(f'w{at}') for at in range(50)))
        new = version(
            'b',
            *(upstream_vm(f'w{at}', 'z2') for at in range(30, 60)),
        )
        parts = difference(old, new)
        history = History()
        assert all(history.add(part) for part in reversed(parts))
        way = history.way(old.number, new.number)
        assert way == parts and len(way) > 1
        rows, checksum = applied(old.vm_list.vms, old.checksum, way)
        assert set(rows) == set(new.vm_list.vms)
        assert checksum == new.checksum

    def test_list_that_names_a_vm_twice_has_no_differences(self):
        old = version('a', upstream_vm('w1'))
        new = version('b', upstream_vm('w1'), upstream_vm('w1', 'z2'))
        assert difference(old, new) == ()

    def test_history_is_bounded_and_ends_in_circles(self):
        history = History()
        for number in range(2 * MAX_KEPT):
            history.add(VmListDifference(number % 7, number, 0, (), ()))
        assert len(history._kept) == MAX_KEPT
        assert history.way(1, 10**6) == ()
