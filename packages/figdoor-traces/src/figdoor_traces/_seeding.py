"""Random number generator whose draws a replay can repeat.

The decisions draw from the node's generator, for example to spread
heartbeats, and so do parts with I/O, which a replay does not run. The
generator is therefore reseeded at each recorded event, so that draws between
two events do not affect those after the second one.
"""

from dataclasses import is_dataclass
from random import Random

from figdoor_kernel import (
    BroadcastRequested,
    CallClosed,
    CallersEvicted,
    ItemsAdvanced,
    PeerSendRequested,
    ProbeRequested,
    RevisionBehind,
    StateRequested,
    StoreRestored,
    TablesAccepted,
    TablesPending,
    TablesRefused,
    UpdateReceived,
    UpstreamStateChanged,
)

SEED_BITS = 32

# Not recorded: a replay makes the decisions publish these events again, and
# the eviction of callers is no input of a decision.
_DERIVED = (
    CallersEvicted,
    UpdateReceived,
    BroadcastRequested,
    ItemsAdvanced,
    PeerSendRequested,
    ProbeRequested,
    RevisionBehind,
    StateRequested,
    StoreRestored,
    TablesAccepted,
    TablesPending,
    TablesRefused,
    UpstreamStateChanged,
)


class TraceRandom(Random):
    """A generator that is reseeded at each recorded event."""

    def __init__(self, origin: int) -> None:
        """Create a generator with the seed ``origin`` of ``SEED_BITS`` bits."""
        super().__init__(origin)
        self.origin = origin
        self._reseed_count = 0

    def reseed(self) -> None:
        """Reseed the generator for the draws that follow the next event."""
        self._reseed_count += 1
        self.seed((self._reseed_count << SEED_BITS) + self.origin)


def is_recorded(event: object) -> bool:
    """Return whether the event is written to a trace."""
    if isinstance(event, CallClosed):
        return event.routed is not None
    return is_dataclass(event) and not isinstance(event, _DERIVED)
