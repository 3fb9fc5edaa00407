"""Times of the last activity of a caller."""


class CallerActivity:
    """Tells for how long a caller has been idle or has sent one head."""

    def __init__(self, now_ms: float) -> None:
        """Start with a connection that has just opened."""
        self.has_received_data = False
        self._last_ms = now_ms
        self._head_started_ms: float | None = None

    def note(self, now_ms: float) -> None:
        """Note that the caller sent or read something."""
        self._last_ms = now_ms

    def note_head(self, now_ms: float, in_head: bool) -> None:
        """Note activity, and whether a head has begun and is incomplete."""
        self._last_ms = now_ms
        if not in_head:
            self._head_started_ms = None
        elif self._head_started_ms is None:
            self._head_started_ms = now_ms

    def idle_ms(self, now_ms: float) -> float:
        """Return the time since the last activity."""
        return now_ms - self._last_ms

    def read_duration_ms(self, now_ms: float) -> float:
        """Return the time since the head began, or since the last body data."""
        if self._head_started_ms is None:
            return now_ms - self._last_ms
        return now_ms - self._head_started_ms
