"""What a node keeps after the store came back from an older copy."""

from support import Recorder, store_node

from figdoor_kernel import (
    Extension,
    ItemsRead,
    PublishedItem,
    StoreRestored,
    position_of,
)


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
