"""The budget for load probes of one node."""

from store_fleet import StoreNode, worker

from figdoor_kernel import Finish, Wait

UPSTREAMS = 12
NODES = 24
PROBES_PER_S = 60
# Probes that one node may send: the limit of all upstreams, divided by the
# nodes.
SHARE_PER_S = PROBES_PER_S * UPSTREAMS / NODES


class LoadedNode:
    """A node with calls at a constant rate, by default to full upstreams."""

    def __init__(self, running=8):
        names = [f'w{index}' for index in range(UPSTREAMS)]
        self.store_node = StoreNode(*map(worker, names), fleet_nodes=NODES)
        for name in names:
            self.store_node.set_load(name, running=running)
        self.waiting = []
        self.probes = 0

    def run(self, length_ms, calls_per_s):
        opened = 0
        for at_ms in range(0, length_ms, 5):
            while opened < calls_per_s * at_ms / 1000:
                opened += 1
                self.waiting.append((self.store_node.open(), 0))
            now_ms = self.store_node.now_ms
            due = [call for call in self.waiting if call[1] <= now_ms]
            later = [call for call in self.waiting if call[1] > now_ms]
            self.waiting = later + list(self.advance(due, now_ms))
            self.store_node.clock.advance_ms(5)

    def advance(self, due, now_ms):
        for exchange, _ in due:
            step = exchange.next_step(now_ms)
            if self.store_node.probed:
                self.probes += len(self.store_node.probed)
                self.store_node.answer_probes()
                step = exchange.next_step(now_ms)
            if isinstance(step, Wait):
                yield exchange, step.until_ms
            elif not isinstance(step, Finish):
                exchange.abandon(now_ms)


class TestProbeBudget:
    def test_probes_of_waiting_calls_stay_within_the_budget(self):
        """Guards against probes that multiply while upstreams are full."""
        node = LoadedNode()
        node.run(60_000, 20)
        assert node.probes <= 60 * SHARE_PER_S

    def test_probes_of_first_rounds_stay_within_the_budget(self):
        node = LoadedNode(running=0)
        node.run(60_000, 20)
        assert node.probes <= 60 * SHARE_PER_S

    def test_short_burst_has_rounds_of_full_size(self):
        """Guards against selections without probes when calls come together."""
        node = LoadedNode(running=0)
        node.run(1000, 20)
        assert node.probes >= 3 * 19

    def test_call_is_sent_when_the_budget_is_used_up(self):
        """Guards against calls refused only because the budget is used up."""
        node = LoadedNode(running=0)
        node.run(60_000, 20)
        for name in node.store_node.loads:
            node.store_node.set_load(name)
        node.store_node.clock.advance_ms(100)
        assert node.store_node.next_step().upstream
