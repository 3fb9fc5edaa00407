"""Merging of published items, acceptance of tables and reads of the store."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from store_fleet import StoreNode, store_tables
from support import ManualClock, Recorder, store_node

from figdoor_decisions.published import ReadKind
from figdoor_kernel import (
    Extension,
    Finding,
    ItemsRead,
    Place,
    PublishedItem,
    TablesAccepted,
    TablesRefused,
)


def item(key, revision, content=b'x'):
    return PublishedItem(key, revision, content)


class Rig:
    """One node that reads a store, and its items."""

    def __init__(self, **options):
        self.clock = ManualClock()
        self.node = store_node(clock=self.clock, **options)
        self.items = self.part('published-items')

    def part(self, name):
        return self.node.part(Extension.SERVICE, name)

    def read(self, *items, as_of=0, is_whole=False, from_store=True):
        as_of = as_of or max((entry.position for entry in items), default=0)
        now_ms = self.clock.now_ms()
        self.node.events.publish(
            ItemsRead(items, as_of, is_whole, from_store, now_ms)
        )

    def read_ahead(self, *items):
        """Publish items before the changes of lower revisions."""
        read = ItemsRead(
            items,
            self.items.as_of,
            False,
            True,
            self.clock.now_ms(),
            is_partial=True,
        )
        self.node.events.publish(read)

    def contents(self):
        return {key: entry.content for key, entry in self.items.items.items()}


class TestItems:
    """Guards against items that revert or that are missing after a merge."""

    def test_older_revision_changes_nothing(self):
        """Guards against a peer that restores an old configuration."""
        rig = Rig()
        rig.read(item('a', 5, b'new'))
        rig.read(item('a', 4, b'old'), from_store=False)
        assert rig.contents() == {'a': b'new'}

    def test_removed_item_does_not_come_back(self):
        rig = Rig()
        rig.read(item('a', 5), item('a', 6, None))
        rig.read(item('a', 5), from_store=False)
        assert not rig.contents()

    @pytest.mark.parametrize('from_store', [True, False])
    @pytest.mark.parametrize('is_whole', [True, False])
    def test_late_read_restores_no_item_removed_before_the_start(
        self, is_whole, from_store
    ):
        """Guards against a removed worker in use after a restart of a node.

        The node has never seen the item or its removal, but its first read was
        complete up to a revision above both.
        """
        rig = Rig()
        rig.read(item('a', 5), as_of=9, is_whole=True)
        late = item('a', 5), item('b', 6)
        rig.read(*late, as_of=7, is_whole=is_whole, from_store=from_store)
        assert set(rig.contents()) == {'a'}

    def test_late_read_still_brings_what_changed_since(self):
        rig = Rig()
        rig.read(item('a', 5), as_of=9, is_whole=True)
        rig.read(item('b', 6), item('a', 10), as_of=10, from_store=False)
        assert rig.contents() == {'a': b'x'}
        assert rig.items.items['a'].position == 10

    def test_newest_read_of_the_store_restores_an_item(self):
        """Guards against an item that is missing after a malformed change."""
        rig = Rig()
        rig.read(item('a', 5), as_of=9)
        rig.read(item('a', 5), item('b', 6), as_of=9, is_whole=True)
        assert set(rig.contents()) == {'a', 'b'}

    def test_whole_read_removes_items_that_it_does_not_contain(self):
        """Guards against removed workers that stay after a lost history."""
        rig = Rig()
        rig.read(item('a', 5), item('b', 6))
        rig.read(item('b', 6), as_of=9, is_whole=True)
        assert rig.contents() == {'b': b'x'}

    def test_whole_read_keeps_newer_items(self):
        rig = Rig()
        rig.read(item('a', 12))
        rig.read(as_of=9, is_whole=True, from_store=False)
        assert rig.contents() == {'a': b'x'}

    def test_changes_include_removals(self):
        rig = Rig()
        rig.read(item('a', 5), item('b', 6))
        rig.read(item('a', 7, None))
        changes = rig.items.changes_after(6)
        assert not changes.is_whole
        assert changes.items == (item('a', 7, None),)

    @pytest.mark.parametrize(
        ('revision', 'has_keys'), [(6, True), (8, True), (9, False)]
    )
    def test_changes_have_keys_where_removals_may_be_unknown(
        self, revision, has_keys
    ):
        """Guards against a removed worker that an answer leaves in use."""
        rig = Rig()
        rig.read(item('a', 5), item('b', 6))
        rig.read(item('b', 6), item('c', 8), as_of=9, is_whole=True)
        changes = rig.items.changes_after(revision)
        assert not changes.is_whole
        assert changes.existing_keys == ({'b', 'c'} if has_keys else set())
        assert item('b', 6) not in changes.items

    def test_item_whose_key_does_not_exist_any_more_is_removed(self):
        rig = Rig()
        rig.read(item('a', 5), item('b', 6))
        rig.read_ahead(item('d', 12))
        now_ms = rig.clock.now_ms()
        read = ItemsRead(
            (item('c', 8),), 9, False, False, now_ms, 'n2', frozenset('bc')
        )
        rig.node.events.publish(read)
        assert set(rig.contents()) == set('bcd')
        assert rig.items.newest == 12

    def test_node_without_items_says_that_there_are_none(self):
        rig = Rig()
        rig.read(as_of=9, is_whole=True)
        assert rig.items.changes_after(5).is_whole

    def test_whole_read_says_that_items_may_have_changed_up_to_it(self):
        """Guards against digests that claim no change where one may be."""
        rig = Rig()
        rig.read(item('b', 6), as_of=9, is_whole=True)
        assert rig.items.newest == 9
        rig.read(as_of=12)
        assert rig.items.newest == 9

    @given(
        st.lists(
            st.tuples(st.sampled_from('abc'), st.integers(1, 30), st.booleans())
        )
    )
    def test_order_of_arrival_does_not_matter(self, changes):
        """Guards against results that depend on the order of arrival."""
        newest = {}
        unique = {revision: (key, exists) for key, revision, exists in changes}
        rig = Rig()
        for revision, (key, exists) in unique.items():
            rig.read_ahead(item(key, revision, b'x' if exists else None))
            if revision > newest.get(key, (0, False))[0]:
                newest[key] = (revision, exists)
        assert set(rig.contents()) == {
            key for key, (_, exists) in newest.items() if exists
        }


class TestAcceptance:
    """Guards against tables that revert to an older revision."""

    def test_older_tables_are_never_accepted(self):
        rig = StoreNode()
        seen = Recorder(rig.node, TablesAccepted)
        rig.publish_tables(store_tables(7))
        rig.publish_tables(store_tables(6))
        assert rig.node.revision == 7
        assert len(seen.events) == 1


class TestWaitReason:
    def test_reason_names_the_refused_revision_and_its_finding(self):
        """Guards against a fleet that is unready without saying why."""
        rig = Rig()
        acceptance = rig.part('acceptance')
        assert acceptance.wait_reason(0) == 'tables'
        finding = Finding(Place('configuration'), 'Services is 7, not list')
        rig.node.events.publish(TablesRefused(9, (finding,), 0))
        reason = acceptance.wait_reason(0)
        assert 'revision 9' in reason
        assert 'Services is 7' in reason


class TestReading:
    """Guards against missed changes and against needless reads of the store."""

    def test_first_read_is_whole_and_next_is_a_watch(self):
        rig = Rig()
        plan = rig.part('store-reading')
        assert plan.next_read(0).kind is ReadKind.WHOLE
        rig.read(item('a', 5), is_whole=True)
        plan.record_success(0)
        later = plan.next_read(1000)
        assert (later.kind, later.after) == (ReadKind.WATCH, 5)

    def test_lost_history_needs_a_whole_read(self):
        rig = Rig()
        plan = rig.part('store-reading')
        plan.record_success(0)
        plan.record_lost_history(200)
        assert plan.next_read(200).kind is ReadKind.WHOLE

    @pytest.mark.parametrize(
        ('after_ms', 'kind'),
        [(0, ReadKind.SPLIT), (None, ReadKind.WATCH)],
    )
    def test_watch_that_is_too_long_is_not_repeated(self, after_ms, kind):
        """Guards against a response that grows with each attempt."""
        rig = Rig()
        plan = rig.part('store-reading')
        rig.read(item('a', 5), is_whole=True)
        plan.record_success(0)
        plan.record_too_long(plan.next_read(300), 300)
        if after_ms is None:
            rig.read(item('a', 9), from_store=False)
        assert plan.next_read(300).kind is kind

    @pytest.mark.parametrize(
        ('seeds', 'end_ms', 'age_ms'),
        [
            ((), 1000, 0),
            ((), 1200, 0),
            ((), 1201, 1201),
            (('10.0.0.1:9',), 1500, 1500),
        ],
    )
    def test_waiting_watch_confirms_what_was_known_until_its_end(
        self, seeds, end_ms, age_ms
    ):
        """Guards against all nodes reading a large item themselves.

        A read in place of a missing confirmation does not wait, and one after
        an outage may end at once, so they show nothing about the time before.
        """
        rig = Rig(seeds=seeds)
        plan = rig.part('store-reading')
        rig.read(item('a', 5), is_whole=True)
        plan.record_success(0)
        rig.clock.advance_ms(end_ms)
        plan.record_too_long(plan.next_read(end_ms), end_ms)
        assert rig.items.age_ms(end_ms) == age_ms
        assert plan.next_read(end_ms).kind is ReadKind.SPLIT

    def test_split_read_that_is_too_long_needs_a_whole_one(self):
        rig = Rig()
        plan = rig.part('store-reading')
        rig.read(item('a', 5), is_whole=True)
        plan.record_success(0)
        plan.record_too_long(plan.next_read(300), 300)
        plan.record_too_long(plan.next_read(300), 310)
        assert plan.next_read(310).kind is ReadKind.WHOLE

    def test_whole_reads_that_are_too_long_back_off(self):
        """Guards against a loop of reads that the store answers at once."""
        plan = Rig().part('store-reading')
        for _ in range(2):
            plan.record_too_long(plan.next_read(0), 0)
        assert plan.next_read(0) is None

    def test_failures_back_off_within_a_second(self):
        """Guards against load on a store that is down."""
        plan = Rig().part('store-reading')
        now_ms = 0.0
        reads = 0
        while now_ms < 10_000:
            if plan.next_read(now_ms):
                reads += 1
                plan.record_failure('down', now_ms)
            now_ms += 10
        assert 8 <= reads <= 30

    @pytest.mark.parametrize(('age_ms', 'reads'), [(500, False), (1500, True)])
    def test_node_reads_only_when_nobody_confirms(self, age_ms, reads):
        rig = Rig(seeds=('10.0.0.1:9',))
        plan = rig.part('store-reading')
        plan.record_success(0)
        rig.items.confirm(5, 0, 'n1', 1000)
        assert (plan.next_read(1000 + age_ms) is not None) is reads

    @pytest.mark.parametrize(
        ('now_ms', 'fails', 'is_due'),
        [(100, False, True), (400, False, False), (100, True, False)],
    )
    def test_items_of_peers_are_taken_once_the_first_read_is_late(
        self, now_ms, fails, is_due
    ):
        """Guards against hundreds of transfers between zones at a start."""
        plan = Rig().part('store-reading')
        plan.next_read(0)
        if fails:
            plan.record_failure('down', 50)
        assert plan.is_first_read_due(now_ms) is is_due

    def test_read_for_lack_of_a_confirmation_does_not_wait(self):
        """Guards against other nodes that read as well in the meantime."""
        rig = Rig(seeds=('10.0.0.1:9',))
        plan = rig.part('store-reading')
        plan.record_success(0)
        assert plan.next_read(2000).wait_ms < 50

    def test_history_lost_after_a_stale_read_needs_an_exact_one(self):
        """Guards against stale reads that repeat without end."""
        rig = Rig()
        plan = rig.part('store-reading')
        assert plan.next_read(0).may_be_stale
        plan.record_lost_history(0)
        assert not plan.next_read(0).may_be_stale
        plan.record_success(0)
        plan.record_lost_history(500)
        assert plan.next_read(500).may_be_stale

    def test_second_return_of_the_store_needs_a_whole_read_again(self):
        """Guards against a node that watches an earlier era for ever.

        A peer was faster than its own read after the first return.
        """
        rig = Rig()
        plan = rig.part('store-reading')
        plan.record_success(0)
        plan.record_restored(1000)
        plan.record_peer_items()
        plan.record_restored(5000)
        assert plan.next_read(7000).kind is ReadKind.WHOLE
