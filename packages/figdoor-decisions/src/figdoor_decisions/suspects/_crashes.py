"""Upstream crashes, and a map of bounded size from requests to records."""

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from operator import attrgetter
from typing import Generic, TypeVar

from figdoor_kernel import Fingerprint, InstanceId, RouteName, UpstreamId

RequestKey = tuple[RouteName, Fingerprint]
# All connections to a crashed instance break within this time, while a new
# instance takes longer to start, accept a request and crash.
SAME_CRASH_MS = 1000.0

Entry = TypeVar('Entry')


@dataclass(frozen=True, slots=True)
class Crash:
    """The end of an upstream instance while a request was in flight."""

    upstream: UpstreamId
    instance: InstanceId
    at_ms: float

    def is_same(self, other: 'Crash') -> bool:
        """Return whether two nodes or two requests observed the same crash."""
        if self.upstream != other.upstream:
            return False
        if self.instance and self.instance == other.instance:
            return True
        return abs(self.at_ms - other.at_ms) <= SAME_CRASH_MS


def merge_crashes(
    known: Iterable[Crash], observed: Iterable[Crash]
) -> list[Crash]:
    """Return different crashes in the order of their times."""
    merged = list(known)
    for crash in observed:
        if not any(crash.is_same(other) for other in merged):
            merged.append(crash)
    return sorted(merged, key=attrgetter('at_ms'))


class BoundedMap(Generic[Entry]):
    """A map that evicts the entry that was set least recently."""

    def __init__(self, max_entries: int) -> None:
        """Start empty."""
        self._max_entries = max_entries
        self._entries: OrderedDict[RequestKey, Entry] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._entries)

    def get(self, key: RequestKey) -> Entry | None:
        """Return the entry; this does not protect it from eviction."""
        return self._entries.get(key)

    def items(self) -> Iterator[tuple[RequestKey, Entry]]:
        """Iterate over the entries, the least recently set one first."""
        return iter(self._entries.items())

    def set(self, key: RequestKey, entry: Entry) -> None:
        """Set the entry as the newest one."""
        self._entries[key] = entry
        self._entries.move_to_end(key)
        if len(self._entries) > self._max_entries:
            self._entries.popitem(last=False)

    def discard(self, key: RequestKey) -> None:
        """Remove the entry, if there is one."""
        self._entries.pop(key, None)
