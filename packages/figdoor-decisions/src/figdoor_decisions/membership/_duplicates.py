"""Detects updates that have arrived before, in bounded memory."""

from collections import OrderedDict
from dataclasses import dataclass

from figdoor_kernel import NodeId

COUNTER_BITS = 32
WINDOW = 256
MAX_STREAMS = 2048
_COUNTER_MASK = (1 << COUNTER_BITS) - 1
_WINDOW_MASK = (1 << WINDOW) - 1


def make_sequence(incarnation: int, counter: int) -> int:
    """Return the sequence number of an update.

    The upper half, ``incarnation``, is drawn at random when the process
    starts, so that the counter of a restarted origin begins a new stream.
    """
    return (incarnation << COUNTER_BITS) | (counter & _COUNTER_MASK)


@dataclass(slots=True)
class _Stream:
    """The highest counter seen, and a bit mask of those seen before it.

    Bit ``n`` of ``seen`` stands for ``highest - n``.
    """

    highest: int
    seen: int = 1

    def is_new(self, counter: int) -> bool:
        """Record the counter; return whether it was not seen before."""
        distance = counter - self.highest
        if distance > 0:
            shifted = self.seen << min(distance, WINDOW)
            self.seen = (shifted | 1) & _WINDOW_MASK
            self.highest = counter
            return True
        bit = 1 << -distance
        if -distance >= WINDOW or self.seen & bit:
            return False
        self.seen |= bit
        return True


class Duplicates:
    """Window of counters for each origin and incarnation.

    An update that is ``WINDOW`` or more behind the highest counter of its
    stream counts as a duplicate. Above ``MAX_STREAMS`` the least recently used
    stream is discarded; the limit covers 640 nodes with three restarts each.
    """

    def __init__(self) -> None:
        """Start without streams."""
        self._streams: OrderedDict[tuple[NodeId, int], _Stream] = OrderedDict()

    def is_new(self, origin: NodeId, sequence: int) -> bool:
        """Record the update; return whether it arrived for the first time."""
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
