"""Ticks of a running node."""

from support import make_node
from twisted.internet.task import Clock

from figdoor_gateway.lifecycle import Lifecycle
from figdoor_kernel import Tick

TICK_S = 0.05


class TestFailingPart:
    def test_node_keeps_ticking(self):
        """Guards against one error that ends the ticks for good.

        Without ticks a node reads no configuration and ignores SIGTERM, so
        the platform has to kill it in the middle of its requests.
        """
        node = make_node()
        ticks = []
        node.events.subscribe(Tick, ticks.append)
        node.events.subscribe(Tick, lambda _: ticks[0].no_such_field)
        clock = Clock()
        ticker = Lifecycle(node).make_ticker(clock)
        ticker.start(TICK_S)
        clock.pump([TICK_S] * 3)
        assert ticker.running
        assert len(ticks) == 4
