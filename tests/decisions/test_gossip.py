"""Members, reader roles and the relay of items among several nodes."""

import pytest
from gossip_fleet import Fleet
from support import Recorder, store_node

from figdoor_decisions.gossip import fleet_size
from figdoor_decisions.gossip._relay import MAX_PUSH_BYTES
from figdoor_kernel import (
    Digest,
    Extension,
    ItemsBehind,
    ItemsPush,
    ItemsRead,
    PeerMessageReceived,
    PeerSendRequested,
    PublishedItem,
)


@pytest.fixture(scope='module')
def settled():
    fleet = Fleet(8)
    fleet.run(15_000)
    return fleet


class TestMembers:
    """Guards against nodes that are missing or stay listed after they died."""

    def test_nodes_find_each_other_from_the_seeds(self, settled):
        for name in settled.nodes:
            assert len(settled.listed_by(name)) == 8

    def test_dead_node_expires(self):
        """Guards against exchanges that keep a dead node listed."""
        fleet = Fleet(5)
        fleet.run(10_000)
        fleet.nodes.pop('n4')
        fleet.run(45_000)
        assert all('n4' not in fleet.listed_by(name) for name in fleet.nodes)

    def test_parts_of_a_split_find_each_other_again(self):
        fleet = Fleet(4)
        fleet.cut = {'n2', 'n3'}
        fleet.run(30_000)
        fleet.cut = set()
        fleet.run(30_000)
        assert all(len(fleet.listed_by(name)) == 4 for name in fleet.nodes)

    def test_fleet_size_is_at_least_that_of_the_settings(self):
        """Guards against a part of a split that uses the whole budget."""
        node = store_node(fleet_nodes=24)
        node.part(Extension.SERVICE, 'members').start()
        assert fleet_size(node) == 24


class TestReaders:
    """Guards against a fleet without readers or with too many of them."""

    def test_fleet_has_one_reader_and_it_is_a_seed(self, settled):
        assert len(settled.readers()) == 1
        assert settled.readers() <= {'n0', 'n1'}

    def test_standbys_take_over_one_after_the_other(self, settled):
        """Guards against a fleet that reads as one when its reader is lost."""
        takeovers_ms = sorted(
            settled.part(name, 'store-readers').takeover_ms
            for name in settled.nodes
        )
        assert takeovers_ms[0] == 0
        assert takeovers_ms[1] < takeovers_ms[2]
        assert takeovers_ms[3] < takeovers_ms[4]
        # A change must be in force within two seconds.
        assert takeovers_ms[-1] <= 1500

    def test_single_node_is_a_reader(self):
        fleet = Fleet(1)
        fleet.run(100)
        assert fleet.readers() == {'n0'}

    def test_node_that_knows_no_seed_yet_leaves_reading_to_them(self):
        """Guards against hundreds of readers when all nodes start at once."""
        fleet = Fleet(4)
        fleet.cut = {'n2', 'n3'}
        fleet.run(1000)
        assert not fleet.readers() & fleet.cut
        assert len(fleet.readers()) == 1

    def test_stopping_reader_is_replaced_at_once(self, settled):
        fleet = Fleet(4)
        fleet.run(5000)
        (reader,) = fleet.readers()
        fleet.part(reader, 'relay').stop()
        fleet.nodes.pop(reader)
        assert len(fleet.readers()) == 1


class TestRelay:
    """Guards against items that do not reach a node and go unnoticed."""

    def fleet(self):
        fleet = Fleet(4)
        fleet.run(10_000)
        for name in fleet.nodes:
            fleet.read(name, as_of=10)
        return fleet

    def test_push_reaches_all_nodes(self):
        fleet = self.fleet()
        reader = next(iter(fleet.readers()))
        fleet.read(reader, PublishedItem('a', 12, b'x'), as_of=12)
        for name in fleet.nodes:
            assert 'a' in fleet.part(name, 'published-items').items

    def read_ahead(self, fleet, name, *items):
        as_of = fleet.part(name, 'published-items').as_of
        now_ms = fleet.clock.now_ms()
        read = ItemsRead(items, as_of, False, True, now_ms, is_partial=True)
        fleet.nodes[name].events.publish(read)

    @pytest.mark.parametrize(
        ('excess', 'is_pushed'), [(-1, True), (0, True), (1, False)]
    )
    def test_push_is_sent_up_to_its_limit(self, excess, is_pushed):
        """Guards against datagrams that are too long and reach nobody."""
        fleet = self.fleet()
        reader = next(iter(fleet.readers()))
        sent = Recorder(fleet.nodes[reader], PeerSendRequested)
        size = MAX_PUSH_BYTES - len('a') + excess
        fleet.read(reader, PublishedItem('a', 12, bytes(size)), as_of=12)
        kinds = {type(event.message) for event in sent.events}
        assert kinds == ({ItemsPush} if is_pushed else {Digest})

    def test_change_reaches_all_nodes_ahead_of_a_large_one(self):
        """Guards against a leaving worker behind a large configuration."""
        fleet = self.fleet()
        reader = next(iter(fleet.readers()))
        self.read_ahead(fleet, reader, PublishedItem('a', 12, b'x'))
        for name in fleet.nodes:
            items = fleet.part(name, 'published-items')
            assert 'a' in items.items
            assert items.as_of == 10

    def test_change_ahead_of_a_large_one_confirms_nothing(self):
        """Guards against standbys that wait for a reader with a slow link."""
        fleet = self.fleet()
        fleet.run(900)
        reader = next(iter(fleet.readers()))
        self.read_ahead(fleet, reader, PublishedItem('a', 12, b'x'))
        now_ms = fleet.clock.now_ms()
        for name in fleet.nodes:
            assert fleet.part(name, 'published-items').age_ms(now_ms) >= 900

    def test_late_push_does_not_bring_back_a_removed_item(self):
        """Guards against an item whose removal a whole read did not name."""
        fleet = self.fleet()
        node = fleet.nodes['n3']
        fleet.read('n3', as_of=20, is_whole=True)
        push = ItemsPush(10, 12, 0, (PublishedItem('a', 12, b'x'),))
        received = PeerMessageReceived('n1', push, fleet.clock.now_ms())
        node.events.publish(received)
        assert not fleet.part('n3', 'published-items').items

    def test_read_without_changes_is_confirmed_to_all_at_once(self):
        fleet = self.fleet()
        fleet.run(900)
        (reader,) = fleet.readers()
        fleet.read(reader, as_of=10)
        now_ms = fleet.clock.now_ms()
        for name in fleet.nodes:
            assert not fleet.part(name, 'published-items').age_ms(now_ms)

    def test_push_after_a_lost_push_is_reported_as_gap(self):
        """Guards against a lost push whose items are never fetched."""
        fleet = self.fleet()
        reader = next(iter(fleet.readers()))
        other = next(name for name in fleet.nodes if name != reader)
        behind = Recorder(fleet.nodes[other], ItemsBehind)
        fleet.cut = {other}
        fleet.read(reader, PublishedItem('a', 12, b'x'), as_of=12)
        fleet.cut = set()
        fleet.read(reader, PublishedItem('b', 13, b'x'), as_of=13)
        assert behind.events
        assert fleet.part(other, 'published-items').as_of == 10

    def test_push_is_taken_ahead_of_what_is_missing(self):
        """Guards against a leaving worker behind a fetch of seconds."""
        fleet = self.fleet()
        reader = next(iter(fleet.readers()))
        other = next(name for name in fleet.nodes if name != reader)
        large = PublishedItem('a', 12, bytes(5000))
        fleet.read(reader, large, as_of=12)
        fleet.read(reader, PublishedItem('b', 13, b'x'), as_of=13)
        items = fleet.part(other, 'published-items')
        assert set(items.items) == {'b'}
        fleet.fetch_missing()
        assert set(items.items) == {'a', 'b'}
        assert items.as_of == 13

    def test_items_are_unconfirmed_when_readers_do_not_read_the_store(self):
        """Guards against nodes that trust old items of a cut-off reader."""
        fleet = self.fleet()
        fleet.run(1000)
        other = next(
            name for name in fleet.nodes if name not in fleet.readers()
        )
        items = fleet.part(other, 'published-items')
        fleet.run(3000)
        assert items.age_ms(fleet.clock.now_ms()) >= 2000


class TestRestarts:
    """Guards against removals that a restarted node does not know of."""

    def fleet(self):
        fleet = Fleet(3)
        fleet.run(10_000)
        for name in fleet.nodes:
            fleet.read(name, PublishedItem('a', 5, b'x'), as_of=5)
            fleet.part(name, 'store-reading').record_success(0)
        return fleet

    def restart(self, fleet):
        """Restart n0 while an item is removed, before the others learn it."""
        fleet.start(0)
        fleet.read('n0', as_of=6, is_whole=True)

    def test_removal_is_not_skipped_after_the_digest_of_a_restarted_node(self):
        """Guards against a removed worker that others keep until it exits."""
        fleet = self.fleet()
        behind = Recorder(fleet.nodes['n1'], ItemsBehind)
        self.restart(fleet)
        fleet.run(5000)
        items = fleet.part('n1', 'published-items')
        assert (items.as_of, set(items.items)) == (5, {'a'})
        assert behind.events[-1].peer == 'n0'

    def test_removal_reaches_a_node_that_asks_a_restarted_node(self):
        """Guards against an answer that leaves out an unknown removal."""
        fleet = self.fleet()
        self.restart(fleet)
        fleet.fetch('n1', 'n0')
        items = fleet.part('n1', 'published-items')
        assert (items.as_of, set(items.items)) == (6, set())

    def test_delegate_does_not_push_an_item_that_was_removed_meanwhile(self):
        """Guards against a removed worker in use at nodes that are behind."""
        fleet = self.fleet()
        listed = PublishedItem('a', 5, b'x')
        now_ms = fleet.clock.now_ms()
        late = ItemsRead((listed,), 5, False, False, now_ms, 'n1')
        delegate, other = [
            name
            for name in fleet.nodes
            if fleet.part(name, 'zone-delegates').is_delegate
        ]
        fleet.cut = {other}
        fleet.read(delegate, PublishedItem('a', 6, None), as_of=6)
        fleet.cut = set()
        fleet.start(int(other[1:]))
        fleet.run(1000)
        fleet.nodes[delegate].events.publish(late)
        items = fleet.part(other, 'published-items')
        assert 'a' not in items.items

    def test_delegate_does_not_pass_on_an_answer_that_may_lack_a_removal(self):
        """Guards against a whole zone that keeps a removed worker.

        The answer names the item that was added, not the one that was removed
        before that.
        """
        fleet = self.fleet()
        fleet.start(0)
        added = PublishedItem('b', 7, b'x')
        fleet.read('n0', added, as_of=7, is_whole=True)
        fleet.fetch('n1', 'n0')
        for name in ('n1', 'n2'):
            items = fleet.part(name, 'published-items')
            assert items.as_of < 6 or 'a' not in items.items


class TestZones:
    """News reach every node, with few messages from any one of them."""

    SIZE = 48
    ZONES = 6

    @pytest.fixture(scope='class')
    @classmethod
    def fleet(cls):
        fleet = Fleet(cls.SIZE, cls.ZONES)
        fleet.run(20_000)
        for name in fleet.nodes:
            fleet.read(name, as_of=10)
            fleet.part(name, 'store-reading').record_success(0)
        return fleet

    def delegates(self, fleet):
        return {
            name
            for name in fleet.nodes
            if fleet.part(name, 'zone-delegates').is_delegate
        }

    def lacking(self, fleet, key):
        return {
            name
            for name in fleet.nodes
            if key not in fleet.part(name, 'published-items').items
        }

    def test_each_zone_has_two_delegates(self, fleet):
        assert len(self.delegates(fleet)) == 2 * self.ZONES

    def test_other_zones_are_told_before_the_own_one(self, fleet):
        """Guards against zones that wait for the end of 60 transfers."""
        (reader,) = fleet.readers()
        recipients = fleet.part(reader, 'zone-delegates').recipients
        own_zone = fleet.nodes[reader].availability_zone
        zones = [
            fleet.nodes[name].availability_zone == own_zone
            for name in recipients
        ]
        assert zones == sorted(zones)
        assert len(set(zones)) == 2

    def test_change_reaches_all_zones_through_their_delegates(self, fleet):
        """Guards against a reader whose messages grow with the fleet."""
        (reader,) = fleet.readers()
        before = fleet.sent.copy()
        fleet.read(reader, PublishedItem('a', 12, b'x'), as_of=12)
        assert not self.lacking(fleet, 'a')
        most = max((fleet.sent - before).values())
        assert most <= self.SIZE // self.ZONES + 2 * self.ZONES

    def test_confirmation_reaches_all_zones(self, fleet):
        """Guards against nodes that read the store although a reader does."""
        (reader,) = fleet.readers()
        fleet.clock.advance_ms(500)
        fleet.read(reader, as_of=20)
        now_ms = fleet.clock.now_ms()
        for name in fleet.nodes:
            assert not fleet.part(name, 'published-items').age_ms(now_ms)

    def test_change_reaches_the_others_of_a_zone_without_one_delegate(
        self, fleet
    ):
        """Guards against a zone that depends on a single node."""
        (reader,) = fleet.readers()
        zone_of = {
            name: fleet.nodes[name].availability_zone for name in fleet.nodes
        }
        cut = next(
            name
            for name in sorted(self.delegates(fleet))
            if zone_of[name] != zone_of[reader]
        )
        fleet.cut = {cut}
        fleet.read(reader, PublishedItem('b', 30, b'x'), as_of=30)
        fleet.cut = set()
        assert self.lacking(fleet, 'b') == {cut}

    def test_large_change_is_fetched_from_a_delegate_of_the_zone(self, fleet):
        """Guards against each node's fetching it from another zone."""
        (reader,) = fleet.readers()
        recorders = {
            name: Recorder(node, ItemsBehind)
            for name, node in fleet.nodes.items()
        }
        content = b'x' * 5000
        fleet.read(reader, PublishedItem('c', 40, content), as_of=40)
        fetching = {name for name in recorders if recorders[name].events}
        delegates = self.delegates(fleet)
        zone = fleet.nodes[reader].availability_zone
        assert all(
            name in delegates or fleet.nodes[name].availability_zone == zone
            for name in fetching
        )
        for name in fetching:
            now_ms = fleet.clock.now_ms()
            item = PublishedItem('c', 40, content)
            fleet.nodes[name].events.publish(
                ItemsRead((item,), 40, False, False, now_ms)
            )
        assert not self.lacking_but_told(fleet, recorders)

    def lacking_but_told(self, fleet, recorders):
        """Return the nodes that neither have the change nor know of it."""
        told = {name for name in recorders if recorders[name].events}
        return self.lacking(fleet, 'c') - told

    def test_all_nodes_divide_by_the_size_of_the_fleet(self, fleet):
        """Guards against shares whose sum exceeds the budget of the fleet.

        Digests hold a few members; beyond some dozens of nodes most of them
        are missing from the list of a node that is no delegate.
        """
        for node in fleet.nodes.values():
            assert fleet_size(node) >= self.SIZE

    def test_delegates_know_every_member_of_their_zone(self, fleet):
        for name in self.delegates(fleet):
            zone = fleet.nodes[name].availability_zone
            expected = {
                other
                for other, node in fleet.nodes.items()
                if node.availability_zone == zone
            }
            assert expected <= fleet.listed_by(name)
