"""The last change of each published item."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from figdoor_kernel import (
    NO_POSITION,
    ItemsAdvanced,
    ItemsChanged,
    ItemsRead,
    ItemsSource,
    Node,
    NodeId,
    Position,
    PublishedItem,
    Service,
    StoreRestored,
    era_of,
)

# Removed items are kept so that peers learn of the removal. The platform keeps
# its history for a few seconds only; readers that are further behind read all
# items again.
MAX_REMOVED = 1024
# A node that has not read the store for this time confirms nothing to others.
STORE_TIMEOUT_MS = 1000.0


@dataclass(frozen=True, slots=True)
class ItemChanges:
    """Items that a peer lacks; they are complete up to ``as_of``.

    With ``is_whole`` they are all items that exist. Otherwise, if there are
    ``existing_keys``, these are the keys of all items that exist, since
    ``items`` may lack removals.
    """

    items: tuple[PublishedItem, ...]
    as_of: Position
    is_whole: bool
    existing_keys: frozenset[str] = frozenset()


class PublishedItems(Service):
    """Merges items from the store and from peers; the latest position wins.

    The store counts the revisions of all keys with one counter, so the later
    position of a key is the newer one, wherever it came from. An item that is
    unknown although all changes up to its position are known was removed.

    If the store comes back from an older copy, all positions in it are later
    than those before, so only a read of what exists leads there. What still
    arrives from an earlier era is outdated.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to items that were read from the store or from peers."""
        self._node = node
        self._items: dict[str, PublishedItem] = {}
        self._removed: dict[str, PublishedItem] = {}
        # Not all items that were removed up to this position may be kept.
        self._discarded_up_to = NO_POSITION
        self.as_of = NO_POSITION
        # No item changed between this position and ``as_of``.
        self.newest = NO_POSITION
        self._store_read_ms = float('-inf')
        self._confirmed_ms = float('-inf')
        node.events.subscribe(ItemsRead, self._on_read)

    @property
    def items(self) -> Mapping[str, PublishedItem]:
        """All items that exist, by key."""
        return self._items

    def newer(
        self, items: Iterable[PublishedItem]
    ) -> tuple[PublishedItem, ...]:
        """Return those that are newer than all that this node knows.

        An item up to ``as_of`` is not: it may have been removed by a change
        that a read of all items did not name.
        """
        return tuple(
            item
            for item in items
            if item.position > self.as_of and self._is_newer(item)
        )

    def current(
        self, items: Iterable[PublishedItem]
    ) -> tuple[PublishedItem, ...]:
        """Return those that are the last change of their key known here."""
        return tuple(
            item
            for item in items
            if (known := self._last_change(item.key)) is not None
            and known.position == item.position
        )

    def changes_after(self, position: Position) -> ItemChanges:
        """Return the items that a reader at this position lacks."""
        if not position or not self._items:
            return ItemChanges(tuple(self._items.values()), self.as_of, True)
        newer = tuple(
            item
            for collection in (self._items, self._removed)
            for item in collection.values()
            if item.position > position
        )
        if position < self._discarded_up_to:
            # The keys are a small part of the size of all items.
            keys = frozenset(self._items)
            return ItemChanges(newer, self.as_of, False, keys)
        return ItemChanges(newer, self.as_of, False)

    def has_read_store_recently(self, now_ms: float) -> bool:
        """Return whether this node itself has read the store recently."""
        return self.store_age_ms(now_ms) <= STORE_TIMEOUT_MS

    def store_age_ms(self, now_ms: float) -> float:
        """Return the time since this node itself read the store."""
        return now_ms - self._store_read_ms

    def age_ms(self, now_ms: float) -> float:
        """Return the time since the store was known to have nothing newer."""
        return now_ms - max(self._confirmed_ms, self._store_read_ms)

    def confirm(
        self, as_of: Position, age_ms: float, peer: NodeId, now_ms: float
    ) -> None:
        """Record that the items were complete up to ``as_of`` that long ago."""
        if era_of(as_of) != era_of(self.as_of):
            return
        self._confirmed_ms = max(self._confirmed_ms, now_ms - age_ms)
        self._advance(as_of, ItemsSource.CONFIRMATION, peer, 0, now_ms)

    def _on_read(self, event: ItemsRead) -> None:
        if self.as_of and era_of(event.as_of) != era_of(self.as_of):
            if event.as_of < self.as_of or not event.may_lack_removals:
                return
            self._node.events.publish(
                StoreRestored(self.as_of, event.as_of, event.now_ms)
            )
        if event.from_store and not event.is_partial:
            self._store_read_ms = event.now_ms
        changed = [
            item
            for item in event.items
            if not self._is_outdated(item, event) and self._merge(item)
        ]
        if event.may_lack_removals:
            changed.extend(self._remove_missing(event))
            self._record_unknown_removals(event.as_of)
        for item in event.items:
            self.newest = max(self.newest, item.position)
        source = ItemsSource.STORE if event.from_store else ItemsSource.PEER
        count = len(changed)
        self._advance(event.as_of, source, event.peer, count, event.now_ms)
        if changed:
            self._node.events.publish(
                ItemsChanged(tuple(changed), event.now_ms),
            )

    def _advance(
        self,
        as_of: Position,
        source: ItemsSource,
        peer: NodeId,
        changed: int,
        now_ms: float,
    ) -> None:
        before = self.as_of
        if as_of > before:
            self.as_of = as_of
            self._node.events.publish(
                ItemsAdvanced(before, as_of, source, peer, changed, now_ms)
            )

    def _is_outdated(self, item: PublishedItem, event: ItemsRead) -> bool:
        """Return whether an item was replaced or removed since the read.

        This node has every change up to ``as_of``, so an unknown item of an
        earlier position was removed, also if the removal itself is unknown here:
        reads of all items do not name removals. Peers and the store may have
        answered before it. A read of the store that is as new as this node is
        right about what exists.
        """
        is_latest = event.from_store and event.as_of >= self.as_of
        return item.content is not None and not (
            is_latest or item.position > self.as_of
        )

    def _is_newer(self, item: PublishedItem) -> bool:
        known = self._last_change(item.key)
        return known is None or known.position < item.position

    def _last_change(self, key: str) -> PublishedItem | None:
        return self._items.get(key) or self._removed.get(key)

    def _merge(self, item: PublishedItem) -> bool:
        if not self._is_newer(item):
            return False
        if item.content is None:
            existed = self._items.pop(item.key, None) is not None
            self._record_removed(item)
            return existed
        self._removed.pop(item.key, None)
        self._items[item.key] = item
        return True

    def _remove_missing(self, event: ItemsRead) -> list[PublishedItem]:
        """Remove items that the read does not name as existing, unless newer."""
        present = event.existing_keys or {item.key for item in event.items}
        missing = [
            PublishedItem(key, event.as_of, None)
            for key, item in self._items.items()
            if key not in present and item.position <= event.as_of
        ]
        return [item for item in missing if self._merge(item)]

    def _record_unknown_removals(self, as_of: Position) -> None:
        """Record that removals up to this position may be unknown.

        A read that names what exists lacks items that were added and removed
        since the previous read, and does not say when any item was removed. A
        peer with a position in between may still have such an item.
        """
        self.newest = max(self.newest, as_of)
        self._discarded_up_to = max(self._discarded_up_to, as_of)

    def _record_removed(self, item: PublishedItem) -> None:
        self._removed.pop(item.key, None)
        self._removed[item.key] = item
        if len(self._removed) > MAX_REMOVED:
            oldest = self._removed.pop(next(iter(self._removed)))
            self._discarded_up_to = max(self._discarded_up_to, oldest.position)
