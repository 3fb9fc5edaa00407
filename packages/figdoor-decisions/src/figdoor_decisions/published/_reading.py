"""When and how the store is read."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import Protocol

from figdoor_decisions.published._items import PublishedItems
from figdoor_kernel import (
    DependencyChanged,
    Extension,
    Node,
    Revision,
    Service,
)


class ReaderRole(Protocol):
    """Says whether this node reads the store for others."""

    @property
    def is_reader(self) -> bool:
        """Whether it does now."""


# A reader confirms to others what it knows, so that it must notice soon that
# its connection to the store has gone silent.
WATCH_MS = 600
# An update must be in force within two seconds. A node that nobody has
# confirmed for this long reads the store itself.
UNCONFIRMED_MS = 1000.0
# Changes often come in groups, and each call counts.
MIN_INTERVAL_MS = 100.0
FIRST_BACKOFF_MS = 100.0
MAX_BACKOFF_MS = 800.0


@unique
class ReadKind(Enum):
    """How much is read."""

    WHOLE = 'whole'
    WATCH = 'watch'


@dataclass(frozen=True, slots=True)
class StoreRead:
    """One read to begin now; ``wait_ms`` is how long a watch may wait."""

    kind: ReadKind
    after: Revision
    wait_ms: int


class StoreReadingPlan(Service):
    """Watches from the newest revision known, and reads all after a gap."""

    def __init__(self, node: Node) -> None:
        """Start with a whole read."""
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
        self._backoff_ms: float = 0
        self._next_ms = float('-inf')

    def next_read(self, now_ms: float) -> StoreRead | None:
        """Return the read to begin now, ``None`` where it is too early."""
        if now_ms < self._next_ms:
            return None
        if self._needs_whole:
            return StoreRead(ReadKind.WHOLE, Revision(0), 0)
        if not self._readers.is_reader and (
            self._items.age_ms(now_ms) <= UNCONFIRMED_MS
        ):
            return None
        return StoreRead(ReadKind.WATCH, self._items.as_of, WATCH_MS)

    def succeed(self, now_ms: float) -> None:
        """Note that a read was answered."""
        self._note(is_up=True, reason='answered', now_ms=now_ms)
        self._needs_whole = False
        self._backoff_ms = 0
        self._next_ms = now_ms + MIN_INTERVAL_MS

    def learn_from_peer(self) -> None:
        """Note that a peer gave all items, so no whole read is needed."""
        self._needs_whole = False

    def lose_history(self, now_ms: float) -> None:
        """Note that the store has forgotten what a watch would begin with."""
        self._needs_whole = True
        self._next_ms = now_ms

    def fail(self, reason: str, now_ms: float) -> None:
        """Note that a read failed."""
        self._note(is_up=False, reason=reason, now_ms=now_ms)
        doubled_ms = max(FIRST_BACKOFF_MS, 2 * self._backoff_ms)
        self._backoff_ms = min(MAX_BACKOFF_MS, doubled_ms)
        jitter = 0.5 + self._random.random()
        self._next_ms = now_ms + jitter * self._backoff_ms

    def _note(self, *, is_up: bool, reason: str, now_ms: float) -> None:
        """Tell all parts once where the store is lost or regained."""
        if is_up is not self._is_up:
            self._is_up = is_up
            self._events.publish(
                DependencyChanged('store', is_up, reason, now_ms),
            )
