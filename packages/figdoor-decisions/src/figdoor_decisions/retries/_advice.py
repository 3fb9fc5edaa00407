"""When a refused caller should come back."""

from figdoor_decisions.load_probing import ObjectiveTimes
from figdoor_kernel import Extension, Node, Refusal, RoutedCall

DEFAULT_OBJECTIVE_MS = 1000.0
# Callers that come back together would meet the same lack of room, so the
# times are spread. Up to the latest of them a call can still be answered
# within its objective where the work takes its usual time.
EARLIEST_SHARE = 0.1
LATEST_SHARE = 0.4
# A call that upstreams shed was placed where there was room, so that another
# try at once may well succeed. The little time spreads those that were shed
# together.
LATEST_SHED_SHARE = 0.05
# Callers that miss their objective anyway are served from spare room. They
# come back later and further apart, once a burst may be over, and leave the
# room until then to callers that can still be in time.
EARLIEST_LATE_SHARE = 0.5
LATEST_LATE_SHARE = 1.5


class SpreadAdvice:
    """Spreads returning callers over a part of their objective."""

    def __init__(self, node: Node) -> None:
        """Use the node's random generator and the times left."""
        self._random = node.random
        self._times: ObjectiveTimes = node.part(
            Extension.SERVICE,
            'objective-times',
        )

    def retry_after_ms(
        self,
        refusal: Refusal | None,
        routed: RoutedCall | None,
        now_ms: float,
    ) -> float:
        """Return a random time.

        It is short where the call was shed, and long where the caller would
        miss its objective.
        """
        objective_ms = routed.route.objective_ms if routed else 0
        objective_ms = objective_ms or DEFAULT_OBJECTIVE_MS
        if refusal is None:
            return self._random.uniform(0, LATEST_SHED_SHARE) * objective_ms
        earliest_share, latest_share = EARLIEST_SHARE, LATEST_SHARE
        back_ms = now_ms + LATEST_SHARE * objective_ms
        if routed is not None and self._times.margin(routed, back_ms) < 1:
            earliest_share = EARLIEST_LATE_SHARE
            latest_share = LATEST_LATE_SHARE
        share = self._random.uniform(earliest_share, latest_share)
        return share * objective_ms
