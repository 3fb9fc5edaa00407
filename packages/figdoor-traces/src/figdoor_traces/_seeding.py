"""Random draws that a replay can repeat.

The decisions draw from the node's generator, for example to spread
heartbeats, and so do parts with I/O, which a replay does not have. The
generator therefore restarts at each event that a trace records, so that
draws between two events change nothing after the second one.
"""

from dataclasses import is_dataclass
from random import Random

from figdoor_kernel import (
    BroadcastRequested,
    CallClosed,
    PeerSendRequested,
    ProbeRequested,
    RevisionBehind,
    TablesAccepted,
    TablesPending,
    TablesRefused,
    UpdateReceived,
    UpstreamStateChanged,
)

SEED_BITS = 32

# Events that the decisions publish themselves when the trace is replayed.
_DERIVED = (
    UpdateReceived,
    BroadcastRequested,
    PeerSendRequested,
    ProbeRequested,
    RevisionBehind,
    TablesAccepted,
    TablesPending,
    TablesRefused,
    UpstreamStateChanged,
)


class TraceRandom(Random):
    """A generator that starts anew, in its own way, at each event."""

    def __init__(self, origin: int) -> None:
        """Start from ``origin``, a number of ``SEED_BITS`` bits."""
        super().__init__(origin)
        self.origin = origin
        self._restarts = 0

    def restart(self) -> None:
        """Start the draws that follow from the next event."""
        self._restarts += 1
        self.seed((self._restarts << SEED_BITS) + self.origin)


def is_recorded(event: object) -> bool:
    """Return whether a trace has this event."""
    if isinstance(event, CallClosed):
        return event.routed is not None
    return is_dataclass(event) and not isinstance(event, _DERIVED)
