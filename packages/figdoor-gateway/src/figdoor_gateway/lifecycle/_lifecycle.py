"""Start and graceful stop of a node."""

from collections.abc import Callable

from loguru import logger
from twisted.internet.task import LoopingCall

from figdoor_gateway.loop import MS_PER_SECOND, Timer, call_later, cancel
from figdoor_gateway.protocols import FrontEnd
from figdoor_kernel import Extension, Node, NodeState, Service, Tick

TICK_MS = 50
STOP_MARGIN_MS = 1000
DEFAULT_DEADLINE_MS = 30_000


class Lifecycle:
    """Runs all parts from the start to the end of the process."""

    def __init__(self, node: Node) -> None:
        """Build nothing yet."""
        self._node = node
        self._ticker = LoopingCall(self._tick)
        self._on_stopped: Callable[[], None] | None = None
        self._bound_timer: Timer | None = None

    def start(self) -> None:
        """Need no start of its own."""

    def stop(self) -> None:
        """Need no stop of its own."""

    def run(self) -> None:
        """Start all parts, the front end last."""
        for part in self._running_parts():
            part.start()
        self._front_end().start()
        self._ticker.start(TICK_MS / MS_PER_SECOND)

    def shut_down(self, on_stopped: Callable[[], None]) -> None:
        """Turn unready, let the platform notice, then finish what runs."""
        readiness = self._node.part(Extension.SERVICE, 'readiness')
        if readiness.state is NodeState.STOPPING:
            return
        self._on_stopped = on_stopped
        readiness.move(NodeState.STOPPING, self._node.clock.now_ms())
        self._front_end().drain()
        grace_ms = self._node.settings.stop_grace_ms
        logger.info('stopping: unready, still taking requests')
        call_later(grace_ms, self._close)

    def _close(self) -> None:
        logger.info('stopping: listener closed, finishing requests')
        self._bound_timer = call_later(self._stop_bound_ms(), self._cut)
        self._front_end().close(self._finish)

    def _cut(self) -> None:
        self._bound_timer = None
        logger.error('stopping: requests outlived every deadline, cut')
        self._front_end().abort()

    def _finish(self) -> None:
        cancel(self._bound_timer)
        self._ticker.stop()
        for part in reversed(self._running_parts()):
            part.stop()
        self._node.part(Extension.UPSTREAM_TRANSPORT, 'http').stop()
        readiness = self._node.part(Extension.SERVICE, 'readiness')
        readiness.move(NodeState.STOPPED, self._node.clock.now_ms())
        logger.info('stopped')
        if self._on_stopped is not None:
            self._on_stopped()

    def _stop_bound_ms(self) -> float:
        """Return the longest time that a request in progress may take."""
        tables = self._node.tables
        deadlines = (
            [route.deadline_ms for route in tables.routes] if (tables) else []
        )
        longest_ms = max(deadlines, default=DEFAULT_DEADLINE_MS)
        return longest_ms + STOP_MARGIN_MS

    def _running_parts(self) -> tuple[Service, ...]:
        """Return all parts in the order of their start.

        The peer transport stops last, since services say farewell when they
        stop.
        """
        node = self._node
        return (
            *node.parts(Extension.PEER_TRANSPORT),
            *node.parts(Extension.SERVICE),
            *node.parts(Extension.CONFIG_SOURCE),
            *node.parts(Extension.VM_LIST_SOURCE),
            *node.parts(Extension.OPERATOR_PAGE),
        )

    def _front_end(self) -> FrontEnd:
        front_end: FrontEnd = self._node.part(Extension.FRONT_END, 'http')
        return front_end

    def _tick(self) -> None:
        self._node.events.publish(Tick(self._node.clock.now_ms()))
