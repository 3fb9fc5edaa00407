"""What both sources of the platform share: one read at a time."""

from typing import Any

from twisted.internet.defer import Deferred

from figdoor_decisions.reading import ReadingPlan
from figdoor_gateway.platform._client import PlatformClient
from figdoor_kernel import Extension, Node, Tick


class PlatformReader:
    """Begins a read on a tick, unless one is under way.

    A subclass says in ``_begin_read`` whether the plan allows one now.
    """

    def __init__(self, node: Node) -> None:
        """Use the platform that the settings name."""
        self._node = node
        self._plan: ReadingPlan = node.part(Extension.SERVICE, 'reading-plan')
        self._client = PlatformClient(node.settings.platform_url)
        self._is_running = False
        self._reading: Deferred[Any] | None = None
        node.events.subscribe(Tick, self._on_tick)

    def start(self) -> None:
        """Begin to read."""
        self._is_running = True

    def stop(self) -> None:
        """End a read that is under way."""
        self._is_running = False
        if self._reading is not None:
            self._reading.cancel()

    def _begin_read(self, now_ms: float) -> Deferred[Any] | None:
        """Return a read that handles its own failure, or ``None``."""
        raise NotImplementedError

    def _on_tick(self, event: Tick) -> None:
        if not self._is_running or self._reading is not None:
            return
        self._reading = self._begin_read(event.now_ms)
        if self._reading is not None:
            self._reading.addBoth(self._end)

    def _end(self, _: object) -> None:
        self._reading = None
