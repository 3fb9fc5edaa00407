"""Differences that were seen lately, and the ways that lead along them."""

from collections import OrderedDict, deque

from figdoor_kernel import VmListDifference

# The 16 parts of the largest difference, from 16 readers with different bases.
MAX_KEPT = 256

Parts = tuple[VmListDifference, ...]


class History:
    """Keeps the newest differences, one for each pair of versions."""

    def __init__(self) -> None:
        """Start empty."""
        self._kept: OrderedDict[tuple[int, int], VmListDifference] = (
            OrderedDict()
        )

    def add(self, part: VmListDifference) -> bool:
        """Keep a difference; return whether its versions are a new pair."""
        pair = (part.base, part.target)
        if pair in self._kept:
            return False
        self._kept[pair] = part
        if len(self._kept) > MAX_KEPT:
            self._kept.popitem(last=False)
        return True

    def drop(self, parts: Parts) -> None:
        """Forget differences that do not fit."""
        for part in parts:
            self._kept.pop((part.base, part.target), None)

    def way(self, base: int, target: int) -> Parts:
        """Return the shortest chain between two versions, if there is one."""
        after: dict[int, list[VmListDifference]] = {}
        for part in self._kept.values():
            after.setdefault(part.base, []).append(part)
        ways: deque[tuple[int, Parts]] = deque([(base, ())])
        while ways:
            reached, way = ways.popleft()
            if reached == target:
                return way
            # A version is left once only, so that the search ends.
            for part in after.pop(reached, ()):
                ways.append((part.target, (*way, part)))
        return ()
