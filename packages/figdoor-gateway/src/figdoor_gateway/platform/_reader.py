"""The base class of both sources, which allows one read at a time."""

from typing import Any

from twisted.internet.defer import Deferred

from figdoor_decisions.reading import ReadingPlan
from figdoor_gateway.platform._client import PlatformClient
from figdoor_kernel import Extension, Node, Tick


class PlatformReader:
    """Checks on each tick whether to begin a read, unless one is pending.

    A subclass implements ``_begin_read``, which follows the reading plan.
    """

    def __init__(self, node: Node) -> None:
        """Create a client of the configured platform; subscribe to ticks."""
        self._node = node
        self._plan: ReadingPlan = node.part(Extension.SERVICE, 'reading-plan')
        self._client = PlatformClient(node.settings.platform_url)
        self._is_running = False
        self._reading: Deferred[Any] | None = None
        node.events.subscribe(Tick, self._on_tick)

    def start(self) -> None:
        """Allow reads from the next tick on."""
        self._is_running = True

    def stop(self) -> None:
        """Cancel the pending read and begin no other."""
        self._is_running = False
        if self._reading is not None:
            self._reading.cancel()

    def _begin_read(self, now_ms: float) -> Deferred[Any] | None:
        """Return a read that handles its failure, ``None`` if none is due."""
        raise NotImplementedError

    def _on_tick(self, event: Tick) -> None:
        if not self._is_running or self._reading is not None:
            return
        self._reading = self._begin_read(event.now_ms)
        if self._reading is not None:
            self._reading.addBoth(self._on_read_ended)

    def _on_read_ended(self, _: object) -> None:
        self._reading = None
