"""The phases of a graceful stop."""

from enum import Enum, unique

from figdoor_kernel import Node, Service

STOP_MARGIN_MS = 1000
# The rest of a limited stop is left for running requests to finish.
MAX_GRACE_SHARE = 0.5
DEADLINE_WITHOUT_TABLES_MS = 30_000


@unique
class StopPhase(Enum):
    """The phases of a stop; in ``ABORTING``, running requests are aborted."""

    RUNNING = 'running'
    GRACE = 'grace'
    FINISHING = 'finishing'
    ABORTING = 'cutting'
    DONE = 'done'


class StopPlan(Service):
    """Determines the phase of the stop.

    During the grace period the node is unready but still accepts requests,
    because the platform's load balancer notices this late. Then it finishes
    running requests. Their time is limited by the longest deadline of all
    routes, or by ``stop_limit_ms`` if the platform kills the process earlier.
    ``grace_end_ms`` and ``abort_at_ms`` hold once the stop has begun.
    """

    def __init__(self, node: Node) -> None:
        """Start in the phase ``running``."""
        self._node = node
        self._begun_ms: float | None = None
        self.grace_end_ms: float = 0
        self.abort_at_ms: float = 0

    @property
    def has_begun(self) -> bool:
        """Whether the stop has begun."""
        return self._begun_ms is not None

    def begin(self, grace_ms: float, now_ms: float) -> None:
        """Begin the stop; a second call has no effect."""
        if self._begun_ms is None:
            self._begun_ms = now_ms
            limit_ms = self._node.options.stop_limit_ms
            if limit_ms:
                grace_ms = min(grace_ms, MAX_GRACE_SHARE * limit_ms)
            self.grace_end_ms = now_ms + grace_ms
            self.abort_at_ms = self._latest_end_ms(now_ms)

    def phase(self, in_progress: int, now_ms: float) -> StopPhase:
        """Return the phase, given the number of requests in progress."""
        if self._begun_ms is None:
            return StopPhase.RUNNING
        if now_ms < self.grace_end_ms:
            # Tables accepted in the meantime may have a longer deadline.
            self.abort_at_ms = self._latest_end_ms(self._begun_ms)
            return StopPhase.GRACE
        if not in_progress:
            return StopPhase.DONE
        if now_ms < self.abort_at_ms:
            return StopPhase.FINISHING
        return StopPhase.ABORTING

    def _latest_end_ms(self, begun_ms: float) -> float:
        limit_ms = self._node.options.stop_limit_ms
        if limit_ms:
            return begun_ms + limit_ms
        return self.grace_end_ms + self._longest_deadline_ms()

    def _longest_deadline_ms(self) -> float:
        tables = self._node.tables
        routes = tables.routes if tables else ()
        deadlines_ms = (route.deadline_ms for route in routes)
        longest_ms = max(deadlines_ms, default=DEADLINE_WITHOUT_TABLES_MS)
        return longest_ms + STOP_MARGIN_MS
