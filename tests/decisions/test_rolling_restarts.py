"""Rolling restarts of a fleet while upstreams are replaced in the store."""

import pytest
from gossip_fleet import STEP_MS, Fleet

from figdoor_decisions.published import ReadKind
from figdoor_kernel import PublishedItem

# The time within which a change of the store must be in force.
IN_FORCE_MS = 2000
UPSTREAMS = 12
RELEASE_MS = 850
# A node is down for 2.6 s, and the next one stops a second after its start.
RESTART_MS = 3600
DOWN_MS = 2600
PLAY_MS = 30_000


class ReadingFleet(Fleet):
    """Nodes that read a store, which answers at once, and fetch from peers."""

    def __init__(self, size, zones):
        self.revision = 100
        self.entries = {}
        self.history = []
        self.removed_ms = {}
        super().__init__(size, zones)

    def write(self, key, content):
        self.revision += 1
        item = PublishedItem(key, self.revision, content)
        self.history.append(item)
        if content is None:
            self.entries.pop(key)
            self.removed_ms[key] = self.clock.now_ms()
        else:
            self.entries[key] = item

    def step(self):
        self.run(STEP_MS)
        now_ms = self.clock.now_ms()
        for name in tuple(self.nodes):
            plan = self.part(name, 'store-reading')
            store_read = plan.next_read(now_ms)
            if store_read is not None:
                self.answer(name, store_read)
        self.fetch_missing()

    def answer(self, name, store_read):
        """Answer a read; a watch without changes waits, as at the store."""
        plan = self.part(name, 'store-reading')
        if store_read.kind is ReadKind.WHOLE:
            plan.record_success(self.clock.now_ms())
            items = self.entries.values()
            self.read(name, *items, as_of=self.revision, is_whole=True)
            return
        after = store_read.after
        changes = [item for item in self.history if item.position > after]
        plan.record_success(self.clock.now_ms())
        self.read(name, *changes, as_of=self.revision)

    def outdated(self):
        """Return nodes with an entry that was removed too long ago."""
        latest_ms = self.clock.now_ms() - IN_FORCE_MS
        old = {key for key, at in self.removed_ms.items() if at < latest_ms}
        return {
            name: keys
            for name in self.nodes
            if (keys := old & set(self.part(name, 'published-items').items))
        }


class TestRollingRestarts:
    """Guards against nodes that keep an upstream after it was removed."""

    @pytest.mark.parametrize(
        ('size', 'zones'), [(6, 3), (24, 4), (60, 4), (312, 6)]
    )
    def test_removed_upstreams_leave_all_nodes_in_time(self, size, zones):
        fleet = ReadingFleet(size, zones)
        for number in range(UPSTREAMS):
            fleet.write(f'w{number}', b'x')
        for _ in range(0, 6000, STEP_MS):
            fleet.step()
        added = UPSTREAMS
        down = None
        stopped = 0
        for now_ms in range(0, PLAY_MS, STEP_MS):
            if now_ms % RELEASE_MS == 0:
                fleet.write(f'w{added}', b'x')
                added += 1
            if now_ms % RELEASE_MS == 2 * STEP_MS:
                fleet.write(f'w{added - UPSTREAMS - 1}', None)
            if now_ms % RESTART_MS == 0:
                down = stopped % size
                stopped += 1
                self.stop(fleet, down)
            if now_ms % RESTART_MS == DOWN_MS:
                fleet.start(down)
            fleet.step()
            assert not fleet.outdated()

    def stop(self, fleet, number):
        name = f'n{number}'
        fleet.part(name, 'relay').stop()
        fleet.nodes.pop(name)
