"""A node's static share of a rate that the whole fleet may use."""

from random import Random

# Elapsed time above this between two ticks is a pause and earns nothing.
PAUSE_MS = 250
MS_PER_SECOND = 1000


class Share:
    """A token bucket that holds one token and saves nothing over a pause.

    The next token takes up to half as long again, so that nodes that spent
    theirs at the same time do not go on in step.
    """

    def __init__(self, random: Random) -> None:
        """Start with one token, for the read at the start of the process."""
        self._random = random
        self._tokens: float = 1
        self._last_ms: float | None = None

    def earn(self, per_second: float, now_ms: float) -> None:
        """Add what the time since the last call earned."""
        last_ms = now_ms if self._last_ms is None else self._last_ms
        self._last_ms = now_ms
        elapsed_ms = now_ms - last_ms
        if elapsed_ms <= PAUSE_MS:
            earned = per_second * elapsed_ms / MS_PER_SECOND
            self._tokens = min(1, self._tokens + earned)

    def take(self) -> bool:
        """Take the token; return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens = -self._random.random() / 2
        return True
