"""For how long an upstream is left alone."""

from dataclasses import dataclass

FIRST_MS = 100.0
MAX_MS = 1000.0


@dataclass(slots=True)
class Backoff:
    """A time that doubles with each extension, up to a second."""

    length_ms: float = 0
    until_ms: float = float('-inf')

    def is_over(self, now_ms: float) -> bool:
        """Tell whether the upstream may be used."""
        return now_ms >= self.until_ms

    def extend(self, now_ms: float) -> None:
        """Leave the upstream alone, for twice as long as the last time."""
        self.length_ms = min(MAX_MS, max(FIRST_MS, 2 * self.length_ms))
        self.until_ms = now_ms + self.length_ms
