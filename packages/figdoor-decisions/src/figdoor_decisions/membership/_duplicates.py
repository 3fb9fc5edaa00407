"""Recognises news that has arrived before, in bounded memory."""

from collections import OrderedDict
from dataclasses import dataclass

from figdoor_kernel import NodeId

COUNTER_BITS = 32
WINDOW = 256
MAX_STREAMS = 2048
_COUNTER_MASK = (1 << COUNTER_BITS) - 1
_WINDOW_MASK = (1 << WINDOW) - 1


def make_sequence(incarnation: int, counter: int) -> int:
    """Return the sequence number of one piece of news.

    The upper half is drawn at random when the process starts, so that an
    origin that restarted with an empty memory begins a new stream.
    """
    return (incarnation << COUNTER_BITS) | (counter & _COUNTER_MASK)


@dataclass(slots=True)
class _Stream:
    """The highest counter seen, and which of the last ones before it."""

    highest: int
    seen: int = 1

    def is_new(self, counter: int) -> bool:
        """Note the counter; return whether it was not seen before."""
        ahead = counter - self.highest
        if ahead > 0:
            moved = self.seen << min(ahead, WINDOW)
            self.seen = (moved | 1) & _WINDOW_MASK
            self.highest = counter
            return True
        mark = 1 << -ahead
        if -ahead >= WINDOW or self.seen & mark:
            return False
        self.seen |= mark
        return True


class Duplicates:
    """One window of counters per run of an origin.

    News that is more than ``WINDOW`` behind its stream counts as old. The
    streams that were silent longest are forgotten above ``MAX_STREAMS``: the
    640 nodes of the target with three restarts each.
    """

    def __init__(self) -> None:
        """Start with an empty memory."""
        self._streams: OrderedDict[tuple[NodeId, int], _Stream] = OrderedDict()

    def is_new(self, origin: NodeId, sequence: int) -> bool:
        """Note the news; return whether it arrived for the first time."""
        key = (origin, sequence >> COUNTER_BITS)
        counter = sequence & _COUNTER_MASK
        stream = self._streams.get(key)
        if stream is not None:
            self._streams.move_to_end(key)
            return stream.is_new(counter)
        self._streams[key] = _Stream(counter)
        if len(self._streams) > MAX_STREAMS:
            self._streams.popitem(last=False)
        return True
