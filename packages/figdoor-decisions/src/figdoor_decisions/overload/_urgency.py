"""What it costs a caller if its call is delayed or refused now."""

from dataclasses import dataclass
from typing import Protocol

from figdoor_kernel import Outlook, RoutedCall

# A call goes before one of the next lower priority unless that one has to
# start earlier by more than this. A strict order would let a service that is
# filled by urgent calls starve all others.
PRIORITY_STEP_MS = 200.0
# A late answer is worth little to the caller, so a call that has missed its
# objective goes before another only if that one can wait a second longer.
LATE_STEP_MS = 1000.0
# A second refusal usually is the caller's last.
REFUSED_STEP_MS = 200.0


@dataclass(frozen=True, slots=True)
class Urgency:
    """The urgency of one call at one time.

    ``latest_start_ms`` is the time by which its work must start on an idle
    upstream: to meet its objective while ``outlook`` is ``IN_TIME``, else to
    meet its deadline. ``work_ms`` is the usual work time of its route, learned
    from ``work_samples`` answers, or assumed if there were none.
    ``was_refused`` says that the call is a retry.
    """

    priority: int
    outlook: Outlook
    latest_start_ms: float
    work_ms: float
    work_samples: int = 0
    was_refused: bool = False

    @property
    def sort_key(self) -> tuple[float, float]:
        """The place in the order of waiting calls; the lowest is first.

        Between calls that must start at the same time, the one with the
        shorter work goes first, since it occupies its slot for less time.
        """
        key_ms = self.latest_start_ms + self.priority * PRIORITY_STEP_MS
        if self.outlook is not Outlook.IN_TIME:
            key_ms += LATE_STEP_MS
        if self.was_refused:
            key_ms -= REFUSED_STEP_MS
        return key_ms, self.work_ms

    def slack_ms(self, now_ms: float) -> float:
        """Return how long the call can wait before its work must start."""
        return max(0, self.latest_start_ms - now_ms)


class UrgencySource(Protocol):
    """Knows the usual work of each route."""

    def urgency(self, routed: RoutedCall, now_ms: float) -> Urgency:
        """Return the urgency of a call at this time."""
