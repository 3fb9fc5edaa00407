"""Repetition of the random choices that a recorded trace contains."""

from collections.abc import Mapping, Sequence
from typing import Any

from figdoor_kernel import Chooser, RoutedCall, Upstream
from figdoor_traces._seeding import TraceRandom


class RecordedChoices:
    """The upstreams that the current line names as chosen.

    ``requested`` lists those for which a permit was requested since the line
    became the current one.
    """

    def __init__(self) -> None:
        """Start without a current line."""
        self.upstream_ids: frozenset[str] = frozenset()
        self.requested: list[str] = []

    def read_line(self, expected: Mapping[str, Any]) -> None:
        """Take the upstreams from the statements of the next line."""
        upstream = expected.get('upstream')
        upstream_ids = expected.get('asked', [upstream] if upstream else [])
        self.upstream_ids = frozenset(map(str, upstream_ids))
        self.requested = []

    def find(self, candidates: Sequence[Any]) -> Upstream | None:
        """Return the first candidate that the line names, if any."""
        for candidate in candidates:
            if isinstance(candidate, Upstream) and (
                candidate.upstream_id in self.upstream_ids
            ):
                return candidate
        return None


class ReplayChooser:
    """Chooses the recorded upstream if all rules allowed it.

    Otherwise the choice of the real chooser stands, and the replay reports a
    mismatch.
    """

    def __init__(self, real: Chooser, choices: RecordedChoices) -> None:
        """Wrap the real chooser."""
        self._real = real
        self._choices = choices

    def choose(
        self,
        candidates: Sequence[Upstream],
        routed: RoutedCall,
        now_ms: float,
    ) -> Upstream | None:
        """Return the recorded candidate.

        The real chooser is called too, so that it draws the same random
        numbers as in the recording.
        """
        chosen = self._real.choose(candidates, routed, now_ms)
        return self._choices.find(candidates) or chosen


class ReplayRandom(TraceRandom):
    """A seeded generator that repeats the recorded upstreams of permits."""

    def __init__(self, origin: int, choices: RecordedChoices) -> None:
        """Create a generator with seed ``origin``."""
        super().__init__(origin)
        self._choices = choices

    def choice(self, seq: Any) -> Any:
        """Return the recorded upstream if it is in ``seq``, else a drawn one."""
        drawn = super().choice(seq)
        chosen = self._choices.find(seq) or drawn
        if isinstance(chosen, Upstream):
            self._choices.requested.append(chosen.upstream_id)
        return chosen
