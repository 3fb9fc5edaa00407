"""Recent differences, and chains of them between two versions."""

from collections import OrderedDict, deque

from figdoor_kernel import VmListDifference

# The largest difference has 16 parts; 16 readers may start at different bases.
MAX_DIFFERENCES = 256

Parts = tuple[VmListDifference, ...]


class DifferenceHistory:
    """Keeps the newest differences, one for each base and target version."""

    def __init__(self) -> None:
        """Start without differences."""
        self._differences: OrderedDict[tuple[int, int], VmListDifference] = (
            OrderedDict()
        )

    def add(self, part: VmListDifference) -> bool:
        """Add a difference; return whether it is the first for its versions."""
        versions = (part.base, part.target)
        if versions in self._differences:
            return False
        self._differences[versions] = part
        if len(self._differences) > MAX_DIFFERENCES:
            self._differences.popitem(last=False)
        return True

    def discard(self, parts: Parts) -> None:
        """Remove differences that do not fit."""
        for part in parts:
            self._differences.pop((part.base, part.target), None)

    def find_path(self, base: int, target: int) -> Parts:
        """Return the shortest chain between two versions, empty if none."""
        by_base: dict[int, list[VmListDifference]] = {}
        for part in self._differences.values():
            by_base.setdefault(part.base, []).append(part)
        queue: deque[tuple[int, Parts]] = deque([(base, ())])
        while queue:
            reached, path = queue.popleft()
            if reached == target:
                return path
            # Each version is expanded once, so that the search ends.
            for part in by_base.pop(reached, ()):
                queue.append((part.target, (*path, part)))
        return ()
