"""How long a call waits for room, and how often it looks for it."""

from figdoor_decisions.overload._urgency import Urgency, UrgencySource
from figdoor_kernel import Extension, Node, Outlook, RoutedCall, Service

# Time between two probe rounds of a waiting call, as a share of its slack. A
# call that can wait longer needs fewer probes to find room in time.
INTERVAL_SHARE = 1 / 8
MIN_INTERVAL_MS = 20.0
MAX_INTERVAL_MS = 100.0
# Share of its remaining time that a retry waits if it has missed its
# objective. The rest is left for work that takes longer than usual.
RETRY_WAIT_SHARE = 1 / 2


class WaitLimits(Service):
    """Limits the wait of a call to the time in which it has a chance."""

    def __init__(self, node: Node) -> None:
        """Use the learned work times of the routes."""
        self._times: UrgencySource = node.part(
            Extension.SERVICE, 'objective-times'
        )

    def until_ms(self, routed: RoutedCall, now_ms: float) -> float:
        """Return the time after which the call is refused.

        A call waits as long as it can meet its objective. The first try that
        misses it is refused then, because its caller can return once the
        overload may be over. A retry may not be followed by another, so it
        also waits for spare room. A call that would miss its deadline does not
        wait at all.
        """
        urgency = self._times.urgency(routed, now_ms)
        if urgency.outlook is Outlook.IN_TIME:
            return urgency.latest_start_ms
        if urgency.outlook is Outlook.LATE and urgency.was_refused:
            opened_ms = routed.opened_ms
            left_ms = urgency.latest_start_ms - opened_ms
            return opened_ms + RETRY_WAIT_SHARE * left_ms
        return routed.opened_ms

    def interval_ms(self, routed: RoutedCall, now_ms: float) -> float:
        """Return the time until the next probe round of a waiting call."""
        urgency = self._times.urgency(routed, now_ms)
        return interval_ms(urgency, now_ms)


def interval_ms(urgency: Urgency, now_ms: float) -> float:
    """Return the time between two probe rounds.

    It shrinks with the slack, and is the longest for late calls.
    """
    if urgency.outlook is not Outlook.IN_TIME:
        return MAX_INTERVAL_MS
    share_ms = INTERVAL_SHARE * urgency.slack_ms(now_ms)
    return min(max(share_ms, MIN_INTERVAL_MS), MAX_INTERVAL_MS)
