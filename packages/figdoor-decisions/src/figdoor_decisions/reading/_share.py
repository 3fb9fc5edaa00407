"""The share of one node in a rate limit of the whole fleet."""

from random import Random

# A longer time between two ticks is a pause and adds no tokens.
PAUSE_MS = 250
MS_PER_SECOND = 1000


class RateShare:
    """Token bucket with a capacity of one token, not refilled over a pause.

    Refilling takes up to 50 % longer, by a random share, so that nodes that
    acquired their tokens at the same time do not stay synchronised.
    """

    def __init__(self, random: Random) -> None:
        """Start with one token, for the read at the start of the process."""
        self._random = random
        self._tokens: float = 1
        self._refilled_at_ms: float | None = None

    def refill(self, per_second: float, now_ms: float) -> None:
        """Add tokens for the time since the last call."""
        refilled_at_ms = (
            now_ms if self._refilled_at_ms is None else self._refilled_at_ms
        )
        self._refilled_at_ms = now_ms
        elapsed_ms = now_ms - refilled_at_ms
        if elapsed_ms <= PAUSE_MS:
            added = per_second * elapsed_ms / MS_PER_SECOND
            self._tokens = min(1, self._tokens + added)

    def acquire(self) -> bool:
        """Acquire the token; return whether one was available."""
        if self._tokens < 1:
            return False
        self._tokens = -self._random.random() / 2
        return True
