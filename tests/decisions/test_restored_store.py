"""What a node keeps after the store came back from an older copy."""

from dataclasses import replace

import pytest
from store_fleet import store_tables, worker
from support import ManualClock, Recorder, store_node

from figdoor_decisions.published._restoring import (
    EVACUATION_HOLD_MS,
    WORKER_HOLD_MS,
)
from figdoor_kernel import (
    Extension,
    ItemsRead,
    PublishedItem,
    StoreRestored,
    TablesAccepted,
    TablesRead,
    Tick,
    UpstreamsRead,
    VmState,
    VmStatement,
    position_of,
)


class Rig:
    """A node of a store deployment whose decoded items a test publishes."""

    def __init__(self):
        self.clock = ManualClock()
        self.node = store_node(clock=self.clock)
        self.accepted = Recorder(self.node, TablesAccepted)
        self.era = 1

    @property
    def now_ms(self):
        return self.clock.now_ms()

    def restore(self):
        self.era += 1
        before = position_of(self.era - 1, 90)
        restored = StoreRestored(before, position_of(self.era, 40), self.now_ms)
        self.node.events.publish(restored)

    def list(self, *workers):
        self.node.events.publish(UpstreamsRead(workers, self.now_ms))

    def read(self, revision, version, prefix='/', evacuated=()):
        tables = store_tables(revision, evacuated=evacuated)
        tables = replace(tables, era=self.era, version=version)
        self.node.events.publish(TablesRead(tables, self.now_ms))

    def pass_time(self, duration_ms):
        self.clock.advance_ms(duration_ms)
        self.node.events.publish(Tick(self.now_ms))

    def states(self):
        upstreams = self.node.fleet.upstreams()
        return {row.upstream_id: row.vm_state for row in upstreams}

    @property
    def version(self):
        return self.node.tables.version

    @property
    def evacuated(self):
        return self.node.tables.evacuated


def stated(sequence, state=VmState.LIVE, started_at_ms=1, **changes):
    statement = VmStatement(started_at_ms, sequence)
    return replace(worker('a', state=state, **changes), statement=statement)


class TestEra:
    """Guards against a node that keeps what the store has lost."""

    def rig(self):
        node = store_node()
        restored = Recorder(node, StoreRestored)
        return node.part(Extension.SERVICE, 'published-items'), restored

    def read(self, items, *rows, as_of, is_whole=True):
        read = ItemsRead(rows, as_of, is_whole, True, 0)
        items._node.events.publish(read)

    def test_copy_replaces_all_items(self):
        items, restored = self.rig()
        lost = PublishedItem('a', position_of(1, 9), b'new')
        copied = PublishedItem('a', position_of(2, 3), b'old')
        self.read(items, lost, as_of=position_of(1, 9))
        self.read(items, copied, as_of=position_of(2, 5))
        assert items.items == {'a': copied}
        assert items.as_of == position_of(2, 5)
        assert len(restored.events) == 1

    def test_late_read_of_the_lost_store_changes_nothing(self):
        items, _ = self.rig()
        copied = PublishedItem('a', position_of(2, 3), b'old')
        self.read(items, copied, as_of=position_of(2, 5))
        late = PublishedItem('b', position_of(1, 99), b'lost')
        gone = PublishedItem('a', position_of(1, 98), None)
        self.read(items, late, gone, as_of=position_of(1, 99), is_whole=False)
        assert items.items == {'a': copied}

    def test_peer_in_an_earlier_era_confirms_nothing(self):
        """Guards against a node that never reads the store again."""
        items, _ = self.rig()
        self.read(items, as_of=position_of(2, 5))
        items.confirm(position_of(1, 99), 0, 'n2', 700)
        assert items.age_ms(700) == 700

    def test_changes_alone_do_not_lead_into_a_later_era(self):
        """They lack what the copy has not, also after a damaged message."""
        items, restored = self.rig()
        self.read(items, as_of=position_of(1, 9))
        change = PublishedItem('a', position_of(2, 10), b'x')
        as_of = position_of(2, 10)
        self.read(items, change, as_of=as_of, is_whole=False)
        items.confirm(as_of, 0, 'n2', 700)
        assert items.as_of == position_of(1, 9)
        assert not restored.events

    def test_peer_in_an_earlier_era_gets_all_items(self):
        items, _ = self.rig()
        row = PublishedItem('a', position_of(2, 3), b'x')
        self.read(items, row, as_of=position_of(2, 5))
        changes = items.changes_after(position_of(1, 99))
        assert changes.items == (row,)
        assert changes.is_whole or changes.existing_keys == {'a'}


class TestWorkers:
    """Guards against requests to workers that are known to be leaving."""

    def rig(self, *known):
        rig = Rig()
        rig.list(stated(4))
        rig.list(*known)
        rig.restore()
        return rig

    def test_draining_worker_is_not_used_again(self):
        rig = self.rig(stated(5, VmState.LEAVING))
        rig.list(stated(4))
        assert rig.states() == {'a': VmState.LEAVING}

    def test_removed_worker_is_not_used_again(self):
        rig = self.rig()
        rig.list(stated(4))
        assert not rig.states()
        rig.list(stated(4), worker('b'))
        assert set(rig.states()) == {'b'}

    def test_cold_start_that_is_over_does_not_begin_again(self):
        rig = self.rig(stated(4, warm_at_ms=3000))
        rig.pass_time(9000)
        rig.list(stated(4, warm_at_ms=12_000))
        upstream = rig.node.fleet.find('a')
        assert upstream.warm_at_ms == 3000

    @pytest.mark.parametrize(('start', 'sequence'), [(1, 5), (2, 0)])
    def test_later_statement_counts_at_once(self, start, sequence):
        rig = self.rig()
        rig.list(stated(4))
        rig.list(stated(sequence, started_at_ms=start))
        assert rig.states() == {'a': VmState.LIVE}

    def test_worker_that_stays_listed_is_used_in_the_end(self):
        """The store would have removed the entry of a silent worker."""
        rig = self.rig()
        rig.list(stated(4))
        rig.pass_time(WORKER_HOLD_MS)
        assert not rig.states()
        rig.pass_time(1)
        assert rig.states() == {'a': VmState.LIVE}

    def test_worker_that_returns_without_a_copy_is_used(self):
        rig = Rig()
        rig.list(stated(4))
        rig.list()
        rig.list(stated(4))
        assert rig.states() == {'a': VmState.LIVE}


class TestConfiguration:
    """Guards against a configuration that goes back with the store."""

    def rig(self):
        rig = Rig()
        rig.read(80, version=7)
        rig.restore()
        return rig

    def test_lower_version_of_the_copy_is_not_accepted(self):
        rig = self.rig()
        rig.read(30, version=5)
        assert rig.version == 7

    @pytest.mark.parametrize('version', [7, 8])
    def test_version_that_is_written_again_is_accepted(self, version):
        rig = self.rig()
        rig.read(30, version=5)
        rig.read(41, version=version)
        assert rig.accepted.events[-1].tables.revision == 41
        assert rig.version == version

    def test_version_written_again_before_the_newest_does_not_count(self):
        rig = self.rig()
        rig.read(41, version=6)
        assert rig.version == 7

    def test_evacuation_beside_a_lower_version_counts(self):
        rig = self.rig()
        rig.read(30, version=5, evacuated=('z1',))
        assert (rig.version, rig.evacuated) == (7, {'z1'})
        rig.read(30, version=5)
        assert rig.evacuated == set()


class TestEvacuation:
    """Guards against requests to a zone whose evacuation the store lost."""

    def rig(self):
        rig = Rig()
        rig.read(80, version=7, evacuated=('z1',))
        rig.restore()
        return rig

    def test_lost_evacuation_holds_until_it_would_be_forgotten(self):
        rig = self.rig()
        rig.read(30, version=7)
        assert rig.evacuated == {'z1'}
        rig.pass_time(EVACUATION_HOLD_MS)
        assert rig.evacuated == {'z1'}
        rig.pass_time(1)
        assert rig.evacuated == set()

    def test_evacuation_written_again_ends_as_usual(self):
        rig = self.rig()
        rig.read(30, version=7)
        rig.read(30, version=7, evacuated=('z1',))
        rig.read(30, version=7)
        assert rig.evacuated == set()

    def test_evacuation_of_the_copy_ends_as_usual(self):
        rig = self.rig()
        rig.read(30, version=7, evacuated=('z1',))
        rig.read(30, version=7)
        assert rig.evacuated == set()

    def test_lost_evacuation_holds_beside_a_newer_configuration(self):
        rig = self.rig()
        rig.read(30, version=7)
        rig.read(41, version=8)
        assert (rig.version, rig.evacuated) == (8, {'z1'})

    def test_second_drill_does_not_end_the_first_one(self):
        rig = self.rig()
        rig.read(30, version=7)
        rig.pass_time(1000)
        rig.restore()
        rig.read(20, version=7)
        rig.pass_time(EVACUATION_HOLD_MS)
        assert rig.evacuated == {'z1'}
