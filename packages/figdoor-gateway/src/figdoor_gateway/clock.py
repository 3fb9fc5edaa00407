"""The node's clock."""

import time

NANOSECONDS_PER_MS = 1_000_000


class BootClock:
    """Milliseconds since boot, including time while the VM was suspended.

    The usual monotonic clock stops while a VM is suspended, so that expired
    leases would look valid after it resumes.
    """

    def now_ms(self) -> float:
        """Return milliseconds since boot."""
        nanoseconds = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        return nanoseconds / NANOSECONDS_PER_MS
