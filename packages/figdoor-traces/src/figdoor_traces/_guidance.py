"""Repetition of the random choices that a recorded trace contains."""

from collections.abc import Mapping, Sequence
from typing import Any

from figdoor_kernel import Chooser, RoutedCall, Upstream
from figdoor_traces._seeding import TraceRandom


class Guide:
    """Holds the upstreams that the current line names."""

    def __init__(self) -> None:
        """Create a guide without a current line."""
        self.upstream_ids: frozenset[str] = frozenset()
        self.requested: list[str] = []

    def follow(self, expected: Mapping[str, Any]) -> None:
        """Set the upstreams to those that a line's statement names."""
        upstream = expected.get('upstream')
        upstream_ids = expected.get('asked', [upstream] if upstream else [])
        self.upstream_ids = frozenset(map(str, upstream_ids))
        self.requested = []

    def find(self, candidates: Sequence[Any]) -> Upstream | None:
        """Return the named upstream, if it is one of the candidates."""
        for candidate in candidates:
            if isinstance(candidate, Upstream) and (
                candidate.upstream_id in self.upstream_ids
            ):
                return candidate
        return None


class GuidedChooser:
    """Chooses the recorded upstream if all rules allowed it.

    Otherwise the choice of the real chooser stands, and the replay reports a
    mismatch.
    """

    def __init__(self, real: Chooser, guide: Guide) -> None:
        """Wrap the real chooser."""
        self._real = real
        self._guide = guide

    def choose(
        self,
        candidates: Sequence[Upstream],
        routed: RoutedCall,
        now_ms: float,
    ) -> Upstream | None:
        """Return the named candidate.

        The real chooser is called too, so that it draws the same random
        numbers as in the recording.
        """
        chosen = self._real.choose(candidates, routed, now_ms)
        return self._guide.find(candidates) or chosen


class GuidedRandom(TraceRandom):
    """A seeded generator that repeats the recorded upstreams of permits."""

    def __init__(self, origin: int, guide: Guide) -> None:
        """Create a generator with seed ``origin``."""
        super().__init__(origin)
        self._guide = guide

    def choice(self, seq: Any) -> Any:
        """Return the named upstream if it is in ``seq``, else a random item."""
        drawn = super().choice(seq)
        chosen = self._guide.find(seq) or drawn
        if isinstance(chosen, Upstream):
            self._guide.requested.append(chosen.upstream_id)
        return chosen
