"""The node's clock."""

import time

NANOSECONDS_PER_MS = 1_000_000


class BootClock:
    """Milliseconds since boot, counting the suspension of the VM too.

    The usual monotonic clock stands still while a VM is suspended, which
    would make old leases look fresh after it wakes.
    """

    def now_ms(self) -> float:
        """Return milliseconds since boot."""
        nanoseconds = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        return nanoseconds / NANOSECONDS_PER_MS
