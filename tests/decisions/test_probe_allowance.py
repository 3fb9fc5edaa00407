"""Probes that upstreams bear from the whole fleet."""

from store_fleet import StoreNode, worker

from figdoor_kernel import Finish, Wait

UPSTREAMS = 12
NODES = 24
PROBES_PER_S = 60
# What one node may send: the bound of all upstreams, divided by the nodes.
SHARE_PER_S = PROBES_PER_S * UPSTREAMS / NODES


class Storm:
    """A node whose upstreams are full, so that all calls wait."""

    def __init__(self, running=8):
        names = [f'w{index}' for index in range(UPSTREAMS)]
        self.rig = StoreNode(*map(worker, names), fleet_nodes=NODES)
        for name in names:
            self.rig.set_load(name, running=running)
        self.waiting = []
        self.probes = 0

    def play(self, length_ms, calls_per_s):
        opened = 0
        for at_ms in range(0, length_ms, 5):
            while opened < calls_per_s * at_ms / 1000:
                opened += 1
                self.waiting.append((self.rig.open(), 0))
            now_ms = self.rig.now_ms
            due = [call for call in self.waiting if call[1] <= now_ms]
            later = [call for call in self.waiting if call[1] > now_ms]
            self.waiting = later + list(self.advance(due, now_ms))
            self.rig.clock.advance_ms(5)

    def advance(self, due, now_ms):
        for exchange, _ in due:
            step = exchange.next_step(now_ms)
            if self.rig.probed:
                self.probes += len(self.rig.probed)
                self.rig.answer_probes()
                step = exchange.next_step(now_ms)
            if isinstance(step, Wait):
                yield exchange, step.until_ms
            elif not isinstance(step, Finish):
                exchange.abandon(now_ms)


class TestAllowance:
    def test_calls_that_wait_stay_within_the_share(self):
        """Guards against probes that multiply while upstreams are full."""
        storm = Storm()
        storm.play(60_000, 20)
        assert storm.probes <= 60 * SHARE_PER_S

    def test_first_surveys_stay_within_the_share(self):
        storm = Storm(running=0)
        storm.play(60_000, 20)
        assert storm.probes <= 60 * SHARE_PER_S

    def test_short_burst_is_surveyed_in_full(self):
        """Guards against placement by chance when calls come together."""
        storm = Storm(running=0)
        storm.play(1000, 20)
        assert storm.probes >= 3 * 19

    def test_call_is_placed_with_nothing_left(self):
        """Guards against calls refused for want of probes alone."""
        storm = Storm(running=0)
        storm.play(60_000, 20)
        for name in storm.rig.loads:
            storm.rig.set_load(name)
        storm.rig.clock.advance_ms(100)
        assert storm.rig.next_step().upstream
