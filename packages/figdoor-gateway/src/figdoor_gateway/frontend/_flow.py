"""Flow control of what a caller sends."""

from typing import Any

from figdoor_gateway.loop import Timer, call_later, cancel
from figdoor_gateway.sockets import is_closed_by_peer

# While reading is paused, nothing shows that the caller has left. Its requests
# may reach upstreams for at most half a second after that.
DEPARTURE_CHECK_MS = 200.0


class ReadFlow:
    """Reads from a caller unless an upload or the queue has to wait."""

    def __init__(self) -> None:
        """Start reading; the transport is set when the connection opens."""
        self.transport: Any = None
        self.is_reading = True
        self._is_upload_paused = False
        self._is_queue_full = False
        self._departure_timer: Timer | None = None

    def pause_upload(self) -> None:
        """Stop reading, because the upstream reads the body slowly."""
        self._is_upload_paused = True
        self._apply()

    def resume_upload(self) -> None:
        """Continue reading, unless too much is queued."""
        self._is_upload_paused = False
        self._apply()

    def set_queue_full(self, is_full: bool) -> None:
        """Stop reading while the queue of requests is full."""
        self._is_queue_full = is_full
        self._apply()

    def read_small_parts(self, max_bytes: int) -> None:
        """Read at most so many bytes at a time from now on."""
        self.transport.bufferSize = max_bytes

    def close(self) -> None:
        """Check no longer for a departure, since the connection has ended."""
        cancel(self._departure_timer)

    def _apply(self) -> None:
        should_read = not (self._is_upload_paused or self._is_queue_full)
        if should_read is self.is_reading:
            return
        self.is_reading = should_read
        if should_read:
            cancel(self._departure_timer)
            self.transport.resumeProducing()
        else:
            self.transport.pauseProducing()
            self._plan_departure_check()

    def _plan_departure_check(self) -> None:
        self._departure_timer = call_later(
            DEPARTURE_CHECK_MS, self._check_departure
        )

    def _check_departure(self) -> None:
        """Reset the connection if the caller has left it while it is paused."""
        if is_closed_by_peer(self.transport):
            self.transport.abortConnection()
        elif not self.transport.disconnected:
            self._plan_departure_check()
