"""Start and graceful stop of a node."""

from collections.abc import Callable
from typing import Any

from loguru import logger

from figdoor_decisions.stopping import StopPhase, StopPlan
from figdoor_gateway.loop import MS_PER_SECOND, Ticker, reactor
from figdoor_gateway.protocols import FrontEnd
from figdoor_kernel import (
    Extension,
    Node,
    NodeState,
    Service,
    StopBegun,
    Tick,
)

TICK_MS = 50


class Lifecycle(Service):
    """Starts all parts, publishes ticks and stops the parts in order."""

    def __init__(self, node: Node) -> None:
        """Create the ticker; ``run`` starts it."""
        self._node = node
        self._stop_plan: StopPlan = node.part(Extension.SERVICE, 'stop-plan')
        self._ticker = self.make_ticker(reactor)
        self._on_stopped: Callable[[], None] | None = None
        self._is_listener_closed = False

    def make_ticker(self, clock: Any) -> Ticker:
        """Return the loop that publishes ticks on this Twisted clock."""
        return Ticker(self._tick, clock)

    def run(self) -> None:
        """Start all parts, the front end last."""
        for part in self._ordered_parts():
            part.start()
        self._front_end().start()
        self._ticker.start(TICK_MS / MS_PER_SECOND)

    def shut_down(self, on_stopped: Callable[[], None]) -> None:
        """Turn unready and begin the graceful stop; later calls do nothing.

        ``on_stopped`` is called when all parts have stopped.
        """
        if self._stop_plan.has_begun:
            return
        self._on_stopped = on_stopped
        now_ms = self._node.clock.now_ms()
        readiness = self._node.part(Extension.SERVICE, 'readiness')
        readiness.change_state(NodeState.STOPPING, now_ms)
        self._front_end().drain()
        grace_ms = self._node.settings.stop_grace_ms
        self._node.events.publish(StopBegun(grace_ms, now_ms))
        logger.info('stopping: unready, still accepting requests')

    def _tick(self) -> None:
        now_ms = self._node.clock.now_ms()
        try:
            self._node.events.publish(Tick(now_ms))
        except Exception:
            # An error ends a ``Ticker``. Without ticks, the node would
            # neither follow the store nor stop.
            logger.exception('a part failed on a tick; the node continues')
        if self._stop_plan.has_begun:
            self._continue_stop(now_ms)

    def _continue_stop(self, now_ms: float) -> None:
        front_end = self._front_end()
        phase = self._stop_plan.phase(front_end.unfinished_count, now_ms)
        if phase is StopPhase.GRACE:
            return
        if not self._is_listener_closed:
            self._is_listener_closed = True
            logger.info('stopping: closing the listener, finishing requests')
            front_end.close(self._on_idle)
        elif phase is StopPhase.ABORTING:
            logger.error('stopping: time limit exceeded, aborting requests')
            front_end.abort()
        elif phase is StopPhase.DONE:
            self._complete_stop(now_ms)

    def _on_idle(self) -> None:
        if self._ticker.running:
            self._continue_stop(self._node.clock.now_ms())

    def _complete_stop(self, now_ms: float) -> None:
        self._ticker.stop()
        for part in reversed(self._ordered_parts()):
            part.stop()
        self._node.part(Extension.UPSTREAM_TRANSPORT, 'http').stop()
        readiness = self._node.part(Extension.SERVICE, 'readiness')
        readiness.change_state(NodeState.STOPPED, now_ms)
        logger.info('stopped')
        if self._on_stopped is not None:
            self._on_stopped()

    def _ordered_parts(self) -> tuple[Service, ...]:
        """Return all parts in the order of their start.

        The peer transport starts first and so stops last, since services send
        stop notices when they stop.
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
