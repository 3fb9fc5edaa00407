"""Items of the store: newest wins, nothing goes back, gaps are closed."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from store_fleet import StoreNode, store_tables
from support import ManualClock, Recorder, store_node

from figdoor_decisions.published import ReadKind
from figdoor_kernel import (
    Extension,
    ItemsRead,
    PublishedItem,
    TablesAccepted,
)


def item(key, revision, content=b'x'):
    return PublishedItem(key, revision, content)


class Rig:
    """One node's items."""

    def __init__(self):
        self.clock = ManualClock()
        self.node = store_node(clock=self.clock)
        self.items = self.part('published-items')

    def part(self, name):
        return self.node.part(Extension.SERVICE, name)

    def read(self, *items, as_of=0, whole=False, store=True):
        as_of = as_of or max((one.revision for one in items), default=0)
        now_ms = self.clock.now_ms()
        self.node.events.publish(ItemsRead(items, as_of, whole, store, now_ms))

    def contents(self):
        return {key: one.content for key, one in self.items.items.items()}


class TestItems:
    def test_older_revision_changes_nothing(self):
        """Guards against a peer that brings back an old configuration."""
        rig = Rig()
        rig.read(item('a', 5, b'new'))
        rig.read(item('a', 4, b'old'), store=False)
        assert rig.contents() == {'a': b'new'}

    def test_removed_item_does_not_come_back(self):
        rig = Rig()
        rig.read(item('a', 5), item('a', 6, None))
        rig.read(item('a', 5), store=False)
        assert not rig.contents()

    def test_whole_read_drops_what_it_does_not_show(self):
        """Guards against workers that left while history was lost."""
        rig = Rig()
        rig.read(item('a', 5), item('b', 6))
        rig.read(item('b', 6), as_of=9, whole=True)
        assert rig.contents() == {'b': b'x'}

    def test_whole_read_keeps_what_is_newer_than_it(self):
        rig = Rig()
        rig.read(item('a', 12))
        rig.read(as_of=9, whole=True, store=False)
        assert rig.contents() == {'a': b'x'}

    def test_changes_hold_removals_too(self):
        rig = Rig()
        rig.read(item('a', 5), item('b', 6))
        rig.read(item('a', 7, None))
        changes = rig.items.changes_after(6)
        assert not changes.is_whole
        assert changes.items == (item('a', 7, None),)

    @given(
        st.lists(
            st.tuples(st.sampled_from('abc'), st.integers(1, 30), st.booleans())
        )
    )
    def test_order_of_arrival_does_not_matter(self, changes):
        """Whatever comes by peers and store in any order, the newest holds."""
        newest = {}
        unique = {revision: (key, there) for key, revision, there in changes}
        rig = Rig()
        for revision, (key, there) in unique.items():
            rig.read(item(key, revision, b'x' if there else None))
            if revision > newest.get(key, (0, False))[0]:
                newest[key] = (revision, there)
        assert set(rig.contents()) == {
            key for key, (_, there) in newest.items() if there
        }


class TestAcceptance:
    def test_older_tables_are_never_accepted(self):
        rig = StoreNode()
        seen = Recorder(rig.node, TablesAccepted)
        rig.publish_tables(store_tables(7))
        rig.publish_tables(store_tables(6))
        assert rig.node.revision == 7
        assert len(seen.events) == 1


class TestReading:
    def test_first_read_is_whole_and_then_a_watch(self):
        rig = Rig()
        plan = rig.part('store-reading')
        assert plan.next_read(0).kind is ReadKind.WHOLE
        rig.read(item('a', 5), whole=True)
        plan.succeed(0)
        later = plan.next_read(1000)
        assert (later.kind, later.after) == (ReadKind.WATCH, 5)

    def test_lost_history_needs_a_whole_read(self):
        rig = Rig()
        plan = rig.part('store-reading')
        plan.succeed(0)
        plan.lose_history(200)
        assert plan.next_read(200).kind is ReadKind.WHOLE

    def test_failures_back_off_within_a_second(self):
        """Guards against a store that is pressed while it is down."""
        plan = Rig().part('store-reading')
        now_ms = 0.0
        reads = 0
        while now_ms < 10_000:
            if plan.next_read(now_ms):
                reads += 1
                plan.fail('down', now_ms)
            now_ms += 10
        assert 8 <= reads <= 30

    @pytest.mark.parametrize(('age_ms', 'reads'), [(500, False), (1500, True)])
    def test_node_reads_only_what_nobody_confirms(self, age_ms, reads):
        rig = Rig()
        plan = rig.part('store-reading')
        plan.succeed(0)
        readers = rig.part('store-readers')
        readers._readers = frozenset(('other',))
        rig.items.confirm(5, 1000)
        assert (plan.next_read(1000 + age_ms) is not None) is reads
