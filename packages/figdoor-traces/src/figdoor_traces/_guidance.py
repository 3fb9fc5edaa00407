"""Has the choices of a recorded trace made again among what is allowed."""

from collections.abc import Mapping, Sequence
from typing import Any

from figdoor_kernel import Chooser, RoutedCall, Upstream
from figdoor_traces._seeding import TraceRandom


class Guide:
    """The upstreams that the current line names."""

    def __init__(self) -> None:
        """Start without a line."""
        self.named: frozenset[str] = frozenset()
        self.asked: list[str] = []

    def follow(self, expected: Mapping[str, Any]) -> None:
        """Take the upstreams that a line's statement names."""
        upstream = expected.get('upstream')
        named = expected.get('asked', [upstream] if upstream else [])
        self.named = frozenset(map(str, named))
        self.asked = []

    def find(self, candidates: Sequence[Any]) -> Upstream | None:
        """Return the named upstream, if it is one of the candidates."""
        for candidate in candidates:
            if isinstance(candidate, Upstream) and (
                candidate.upstream_id in self.named
            ):
                return candidate
        return None


class GuidedChooser:
    """Chooses what was recorded, if every rule allowed it.

    Otherwise the real chooser chooses, and the statement does not hold.
    """

    def __init__(self, real: Chooser, guide: Guide) -> None:
        """Stand in for the real chooser."""
        self._real = real
        self._guide = guide

    def choose(
        self,
        candidates: Sequence[Upstream],
        routed: RoutedCall,
        now_ms: float,
    ) -> Upstream | None:
        """Return the named candidate; the real chooser draws as it did."""
        chosen = self._real.choose(candidates, routed, now_ms)
        return self._guide.find(candidates) or chosen


class GuidedRandom(TraceRandom):
    """Seeded; picks the upstream to ask for a permit as the line names it."""

    def __init__(self, origin: int, guide: Guide) -> None:
        """Start from the seed."""
        super().__init__(origin)
        self._guide = guide

    def choice(self, seq: Any) -> Any:
        """Return the named upstream where it is one of ``seq``."""
        drawn = super().choice(seq)
        picked = self._guide.find(seq) or drawn
        if isinstance(picked, Upstream):
            self._guide.asked.append(picked.upstream_id)
        return picked
