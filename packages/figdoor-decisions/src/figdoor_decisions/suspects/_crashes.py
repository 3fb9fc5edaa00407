"""Deaths by fingerprint, in bounded memory."""

from collections import OrderedDict
from dataclasses import dataclass
from typing import Generic, TypeVar

from figdoor_kernel import Fingerprint, InstanceId, RouteName, UpstreamId

Suspect = tuple[RouteName, Fingerprint]
# All connections to an instance die within this time, but a new instance
# takes longer to start, take a request and die.
SAME_DEATH_MS = 1000.0

Kept = TypeVar('Kept')


@dataclass(frozen=True, slots=True)
class Death:
    """The end of an upstream instance while it ran a request."""

    upstream: UpstreamId
    instance: InstanceId
    at_ms: float

    def is_same(self, other: 'Death') -> bool:
        """Return whether two nodes or two requests saw one death."""
        if self.upstream != other.upstream:
            return False
        if self.instance and self.instance == other.instance:
            return True
        return abs(self.at_ms - other.at_ms) <= SAME_DEATH_MS


class Recent(Generic[Kept]):
    """A mapping that forgets what was not touched for longest."""

    def __init__(self, max_entries: int) -> None:
        """Start empty."""
        self._max_entries = max_entries
        self._entries: OrderedDict[Suspect, Kept] = OrderedDict()

    def __len__(self) -> int:
        """Return how many entries are kept."""
        return len(self._entries)

    def get(self, suspect: Suspect) -> Kept | None:
        """Return the entry, without touching it."""
        return self._entries.get(suspect)

    def put(self, suspect: Suspect, kept: Kept) -> None:
        """Set the entry and touch it."""
        self._entries[suspect] = kept
        self._entries.move_to_end(suspect)
        if len(self._entries) > self._max_entries:
            self._entries.popitem(last=False)

    def drop(self, suspect: Suspect) -> None:
        """Forget the entry, if there is one."""
        self._entries.pop(suspect, None)
