"""The phases of a graceful stop."""

from enum import Enum, unique

from figdoor_kernel import Node, Service

STOP_MARGIN_MS = 1000
DEADLINE_WITHOUT_TABLES_MS = 30_000


@unique
class StopPhase(Enum):
    """What the node does now on its way out."""

    RUNNING = 'running'
    GRACE = 'grace'
    FINISHING = 'finishing'
    CUTTING = 'cutting'
    DONE = 'done'


class StopPlan(Service):
    """Says when to close the listener and when nothing is in progress.

    During the grace the node is unready but still takes requests, because
    the platform's balancer notices late. Afterwards it only finishes what
    runs. Every request has a deadline, so the longest deadline bounds the
    time that this takes, unless the platform kills the process earlier and
    ``stop_limit_ms`` says when.
    """

    def __init__(self, node: Node) -> None:
        """Start in the phase ``running``."""
        self._node = node
        self._grace_end_ms: float | None = None
        self._begun_ms: float = 0
        self._bound_end_ms: float = 0

    @property
    def has_begun(self) -> bool:
        """Whether the node was asked to stop."""
        return self._grace_end_ms is not None

    def begin(self, grace_ms: float, now_ms: float) -> None:
        """Begin to stop; a second call changes nothing."""
        if self._grace_end_ms is None:
            self._grace_end_ms = now_ms + grace_ms
            self._begun_ms = now_ms
            self._bound_end_ms = self._bound_ms()

    def phase(self, in_progress: int, now_ms: float) -> StopPhase:
        """Return the phase, given how many requests are in progress."""
        if self._grace_end_ms is None:
            return StopPhase.RUNNING
        if now_ms < self._grace_end_ms:
            # Tables accepted meanwhile can bring a longer deadline.
            self._bound_end_ms = self._bound_ms()
            return StopPhase.GRACE
        if not in_progress:
            return StopPhase.DONE
        if now_ms < self._bound_end_ms:
            return StopPhase.FINISHING
        return StopPhase.CUTTING

    def _bound_ms(self) -> float:
        limit_ms = self._node.options.stop_limit_ms
        if limit_ms:
            return self._begun_ms + limit_ms
        return (self._grace_end_ms or 0) + self._longest_ms()

    def _longest_ms(self) -> float:
        tables = self._node.tables
        routes = tables.routes if tables else ()
        deadlines_ms = (route.deadline_ms for route in routes)
        longest_ms = max(deadlines_ms, default=DEADLINE_WITHOUT_TABLES_MS)
        return longest_ms + STOP_MARGIN_MS
