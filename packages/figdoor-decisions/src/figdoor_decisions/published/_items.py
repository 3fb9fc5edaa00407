"""The newest revision of each published item."""

from collections.abc import Mapping
from dataclasses import dataclass

from figdoor_kernel import (
    ItemsChanged,
    ItemsRead,
    Node,
    PublishedItem,
    Revision,
    Service,
)

# Removed items are kept so that peers can be told of them. The platform keeps
# its own history for some seconds only, and readers that are further behind
# take everything anew.
MAX_REMOVED = 1024
# A reader that is this far behind the store has lost touch with it.
STORE_SILENCE_MS = 1000.0


@dataclass(frozen=True, slots=True)
class ItemChanges:
    """What a peer lacks, with the revision up to which nothing is missing."""

    items: tuple[PublishedItem, ...]
    as_of: Revision
    is_whole: bool


class PublishedItems(Service):
    """Merges what the store and peers tell; a key never goes back.

    The revisions of the store are one counter, so the higher revision of a
    key is the newer one, whoever brought it.
    """

    def __init__(self, node: Node) -> None:
        """Follow reads of the store and of peers."""
        self._node = node
        self._items: dict[str, PublishedItem] = {}
        self._removed: dict[str, PublishedItem] = {}
        # Up to this revision removed items may have been forgotten.
        self._forgotten = Revision(0)
        self.as_of = Revision(0)
        # The last revision that changed an item.
        self.newest = Revision(0)
        self._store_read_ms = float('-inf')
        self._confirmed_ms = float('-inf')
        node.events.subscribe(ItemsRead, self._on_read)

    @property
    def items(self) -> Mapping[str, PublishedItem]:
        """All items that exist, by key."""
        return self._items

    def changes_after(self, revision: Revision) -> ItemChanges:
        """Return what a reader lacks that knows everything up to there."""
        if revision < self._forgotten or not revision:
            return ItemChanges(tuple(self._items.values()), self.as_of, True)
        newer = [
            item
            for known in (self._items, self._removed)
            for item in known.values()
            if item.revision > revision
        ]
        return ItemChanges(tuple(newer), self.as_of, False)

    def hears_store(self, now_ms: float) -> bool:
        """Return whether the store was read lately."""
        return self.store_age_ms(now_ms) <= STORE_SILENCE_MS

    def store_age_ms(self, now_ms: float) -> float:
        """Return how long ago this node itself read the store."""
        return now_ms - self._store_read_ms

    def age_ms(self, now_ms: float) -> float:
        """Return how long ago the store is known to have had nothing newer."""
        return now_ms - max(self._confirmed_ms, self._store_read_ms)

    def confirm(self, as_of: Revision, at_ms: float) -> None:
        """Note that nothing was missing up to ``as_of`` at that time."""
        self.as_of = max(self.as_of, as_of)
        self._confirmed_ms = max(self._confirmed_ms, at_ms)

    def _on_read(self, event: ItemsRead) -> None:
        if event.from_store:
            self._store_read_ms = event.now_ms
        changed = [item for item in event.items if self._take(item)]
        if event.is_whole:
            changed.extend(self._drop_missing(event))
        self.as_of = max(self.as_of, event.as_of)
        for item in event.items:
            self.newest = max(self.newest, item.revision)
        if changed:
            self._node.events.publish(
                ItemsChanged(tuple(changed), event.now_ms),
            )

    def _take(self, item: PublishedItem) -> bool:
        known = self._items.get(item.key) or self._removed.get(item.key)
        if known is not None and known.revision >= item.revision:
            return False
        if item.content is None:
            was_known = self._items.pop(item.key, None) is not None
            self._note_removed(item)
            return was_known
        self._removed.pop(item.key, None)
        self._items[item.key] = item
        return True

    def _drop_missing(self, event: ItemsRead) -> list[PublishedItem]:
        """Remove what a whole read that is new enough did not show."""
        shown = {item.key for item in event.items}
        missing = [
            PublishedItem(key, event.as_of, None)
            for key, item in self._items.items()
            if key not in shown and item.revision <= event.as_of
        ]
        return [item for item in missing if self._take(item)]

    def _note_removed(self, item: PublishedItem) -> None:
        self._removed.pop(item.key, None)
        self._removed[item.key] = item
        if len(self._removed) > MAX_REMOVED:
            oldest = self._removed.pop(next(iter(self._removed)))
            self._forgotten = max(self._forgotten, oldest.revision)
