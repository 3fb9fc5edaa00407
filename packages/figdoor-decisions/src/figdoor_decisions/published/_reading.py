"""Decides when to read the store, and whether to read all or to watch."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import Protocol

from figdoor_decisions.published._items import PublishedItems
from figdoor_kernel import (
    NO_POSITION,
    DependencyChanged,
    Extension,
    ItemsRead,
    Node,
    Position,
    Service,
)


class ReaderRole(Protocol):
    """Tells when this node reads the store, for itself or for the others."""

    @property
    def is_reader(self) -> bool:
        """Whether this node reads the store for others now."""

    @property
    def takeover_ms(self) -> float:
        """How old confirmed items may be before this node reads the store."""


# A reader confirms its items to the other nodes, so it must notice soon when
# the connection to the store no longer responds.
WATCH_WAIT_MS = 800
# A node that reads only because nobody confirms its items must not wait for a
# change: the others would read as well in the meantime.
CHECK_WAIT_MS = 1
# Changes often come in groups; the interval limits the calls to the store.
MIN_INTERVAL_MS = 200.0
# A watch that begins at its time ends within this time of the last read.
MAX_CONFIRMED_GAP_MS = WATCH_WAIT_MS + 2 * MIN_INTERVAL_MS
FIRST_BACKOFF_MS = 100.0
# The store returns all pages in a tenth of a second. A node that has waited this
# long at its start takes the items of a peer.
MAX_FIRST_READ_MS = 300.0
MAX_BACKOFF_MS = 800.0
# Nodes whose items nobody confirms notice the return of the store all at once.
# Most get the items of the reader before their turn.
MAX_RESTORED_SPREAD_MS = 1000.0


@unique
class ReadKind(Enum):
    """Read all items, wait for changes, or read large items by themselves.

    ``SPLIT`` stands for a watch whose response is too long: the store returns
    each version of a large item since the watched position, but only the
    newest one is of use.
    """

    WHOLE = 'whole'
    WATCH = 'watch'
    SPLIT = 'split'


@dataclass(frozen=True, slots=True)
class StoreRead:
    """One read to start now.

    A watch returns the changes after ``after``; the store waits for them at
    most ``wait_ms``. With ``may_be_stale``, a read of all items may return old
    ones, if a watch from their position follows.
    """

    kind: ReadKind
    after: Position
    wait_ms: int
    may_be_stale: bool = False


class StoreReadingPlan(Service):
    """Watches for changes; reads all items at the start and after a gap."""

    def __init__(self, node: Node) -> None:
        """Start with a read of all items."""
        self._events = node.events
        self._random = node.random
        self._is_up: bool | None = None
        self._items: PublishedItems = node.part(
            Extension.SERVICE,
            'published-items',
        )
        self._readers: ReaderRole = node.part(
            Extension.SERVICE,
            'store-readers',
        )
        self._needs_whole = True
        # Whether the store has lost the history after a stale read.
        self._needs_exact = False
        # The position from which the response to a watch is too long.
        self._split_after: Position | None = None
        self._first_read_ms: float | None = None
        self._backoff_ms: float = 0
        self._next_ms = float('-inf')

    def next_read(self, now_ms: float) -> StoreRead | None:
        """Return the read to start now, ``None`` if none is due."""
        if now_ms < self._next_ms:
            return None
        if self._needs_whole:
            if self._first_read_ms is None:
                self._first_read_ms = now_ms
            may_be_stale = not self._needs_exact
            return StoreRead(ReadKind.WHOLE, NO_POSITION, 0, may_be_stale)
        wait_ms = WATCH_WAIT_MS
        if not self._readers.is_reader:
            if self._items.age_ms(now_ms) <= self._readers.takeover_ms:
                return None
            wait_ms = CHECK_WAIT_MS
        after = self._items.as_of
        if self._split_after == after:
            return StoreRead(ReadKind.SPLIT, after, CHECK_WAIT_MS)
        return StoreRead(ReadKind.WATCH, after, wait_ms)

    def is_first_read_due(self, now_ms: float) -> bool:
        """Return whether the first read of the store will soon succeed."""
        if not self._needs_whole or self._backoff_ms:
            return False
        started_ms = self._first_read_ms
        return started_ms is None or now_ms - started_ms <= MAX_FIRST_READ_MS

    def record_success(self, now_ms: float) -> None:
        """Record a successful read and schedule the next one."""
        self._update_state(is_up=True, reason='answered', now_ms=now_ms)
        self._needs_whole = False
        self._needs_exact = False
        self._backoff_ms = 0
        self._next_ms = now_ms + MIN_INTERVAL_MS

    def record_peer_items(self) -> None:
        """Record that a peer sent its items, so no whole read is needed."""
        self._needs_whole = False

    def record_lost_history(self, now_ms: float) -> None:
        """Read all items at once: the store lacks the history for the watch.

        If that was the watch after a stale read, the next read is exact.
        """
        self._needs_exact = self._needs_whole
        self._needs_whole = True
        self._next_ms = now_ms

    def record_restored(self, now_ms: float) -> None:
        """Read all items: the store came back from an older copy.

        Stale pages may be older than the copy. Nodes that do not read for the
        others spread their reads, and need none if the reader is faster.
        """
        is_planned = self._needs_whole and self._needs_exact
        self._needs_whole = True
        self._needs_exact = True
        if is_planned:
            self.record_failure('came back from an older copy', now_ms)
            return
        spread_ms = 0 if self._readers.is_reader else MAX_RESTORED_SPREAD_MS
        self._next_ms = now_ms + self._random.random() * spread_ms

    def record_too_long(self, store_read: StoreRead, now_ms: float) -> None:
        """Replace a read whose response is too long, at once.

        The same read again would return as much or more, until the store
        discards its history. A split read takes the place of a watch, and a
        read of all items that of a split read. The store bounds the pages of
        that one, so a longer one is a failure.

        A watch that waited shows that nothing was newer until now. Without
        that confirmation, all nodes would read the store during a split read.
        After an outage it may have returned at once, so it shows nothing.
        """
        if store_read.kind is ReadKind.WATCH:
            self._split_after = store_read.after
            age_ms = self._items.store_age_ms(now_ms)
            may_wait = store_read.wait_ms > CHECK_WAIT_MS
            if may_wait and age_ms <= MAX_CONFIRMED_GAP_MS:
                self._events.publish(
                    ItemsRead((), store_read.after, False, True, now_ms)
                )
            self._next_ms = now_ms
        elif store_read.kind is ReadKind.SPLIT or store_read.may_be_stale:
            self.record_lost_history(now_ms)
        else:
            self.record_failure('page is too long', now_ms)

    def record_failure(self, reason: str, now_ms: float) -> None:
        """Record a failed read; the next one follows after a backoff."""
        self._update_state(is_up=False, reason=reason, now_ms=now_ms)
        doubled_ms = max(FIRST_BACKOFF_MS, 2 * self._backoff_ms)
        self._backoff_ms = min(MAX_BACKOFF_MS, doubled_ms)
        jitter = 0.5 + self._random.random()
        self._next_ms = now_ms + jitter * self._backoff_ms

    def _update_state(self, *, is_up: bool, reason: str, now_ms: float) -> None:
        """Publish a change between reachable and unreachable, once each."""
        if is_up is not self._is_up:
            self._is_up = is_up
            self._events.publish(
                DependencyChanged('store', is_up, reason, now_ms),
            )
