"""The phases of a graceful stop."""

from enum import Enum, unique

from figdoor_kernel import (
    Node,
    Service,
    StopBegun,
    TablesAccepted,
)

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
        """Start in the phase ``running``; subscribe to the stop and tables."""
        self._node = node
        self._begun_ms: float | None = None
        self.grace_end_ms: float = 0
        self.abort_at_ms: float = 0
        node.events.subscribe(StopBegun, self._on_begun)
        node.events.subscribe(TablesAccepted, self._on_tables)

    @property
    def has_begun(self) -> bool:
        """Whether the stop has begun."""
        return self._begun_ms is not None

    def phase(self, in_progress: int, now_ms: float) -> StopPhase:
        """Return the phase, given the number of requests in progress."""
        if self._begun_ms is None:
            return StopPhase.RUNNING
        if now_ms < self.grace_end_ms:
            return StopPhase.GRACE
        if not in_progress:
            return StopPhase.DONE
        if now_ms < self.abort_at_ms:
            return StopPhase.FINISHING
        return StopPhase.ABORTING

    @property
    def _limit_ms(self) -> float:
        return self._node.options.stop_limit_ms

    def _on_begun(self, event: StopBegun) -> None:
        if self._begun_ms is not None:
            return
        self._begun_ms = event.now_ms
        grace_ms = event.grace_ms
        if self._limit_ms:
            grace_ms = min(grace_ms, MAX_GRACE_SHARE * self._limit_ms)
            self.abort_at_ms = event.now_ms + self._limit_ms
        self.grace_end_ms = event.now_ms + grace_ms
        self._allow_longest_deadline()

    def _on_tables(self, event: TablesAccepted) -> None:
        """Allow for longer deadlines of tables accepted in the grace period."""
        if self._begun_ms is not None and event.now_ms < self.grace_end_ms:
            self._allow_longest_deadline()

    def _allow_longest_deadline(self) -> None:
        """Abort after the longest deadline, unless the stop is limited."""
        if not self._limit_ms:
            longest_ms = self._longest_deadline_ms()
            self.abort_at_ms = self.grace_end_ms + longest_ms

    def _longest_deadline_ms(self) -> float:
        tables = self._node.tables
        routes = tables.routes if tables else ()
        deadlines_ms = (route.deadline_ms for route in routes)
        longest_ms = max(deadlines_ms, default=DEADLINE_WITHOUT_TABLES_MS)
        return longest_ms + STOP_MARGIN_MS
