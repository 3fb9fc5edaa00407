"""Any order of changes, reads, restarts and messages in a store deployment.

The test guards against nodes that skip a change of the store and keep, for
example, a worker that has left, also after the store came back from an older
copy.
"""

from gossip_fleet import Fleet
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from figdoor_kernel import (
    ItemsRead,
    PublishedItem,
    era_of,
    position_of,
    revision_of,
)

NODES = 4
# Members find each other within some exchanges of 3 s.
SETTLE_ROUNDS = 24
KEYS = 'abcd'
nodes = st.integers(0, NODES - 1)


class Store:
    """The changes of all keys, as the platform's store acknowledged them."""

    def __init__(self):
        self.era = 0
        self.changes = []

    @property
    def as_of(self):
        return position_of(self.era, len(self.changes))

    def write(self, key, content):
        position = position_of(self.era, len(self.changes) + 1)
        self.changes.append(PublishedItem(key, position, content))

    def restore(self, lost):
        """Come back from a copy that lacks the last changes."""
        self.era += 1
        self.changes = [
            PublishedItem(
                item.key,
                position_of(self.era, revision_of(item.position)),
                item.content,
            )
            for item in self.changes[: max(1, len(self.changes) - lost)]
        ]

    def after(self, position):
        return self.changes[revision_of(position) :]

    def latest(self, as_of):
        """Return the last change of each key up to a position."""
        return {
            item.key: item for item in self.changes if item.position <= as_of
        }

    def existing(self):
        latest = self.latest(self.as_of).values()
        return [item for item in latest if item.content is not None]


class DelayedFleet(Fleet):
    """A fleet whose messages wait until a test delivers or drops them."""

    def __init__(self, size):
        self.waiting = []
        super().__init__(size)

    def deliver(self, sender, target, message):
        self.waiting.append((sender, target, message))

    def deliver_next(self, index):
        if self.waiting:
            waiting = self.waiting.pop(index % len(self.waiting))
            super().deliver(*waiting)


class ItemsRelay(RuleBasedStateMachine):
    """Four nodes, of which any may restart and any may read the store."""

    fleet = None

    @initialize()
    def start(self):
        self.store = Store()
        self.store.write('a', b'x')
        self.fleet = DelayedFleet(NODES)
        # Reads of the store and answers of peers that have not arrived yet.
        self.late = []
        for number in range(NODES):
            self.read_all(number)
        for _ in range(3):
            self.pass_time(500)
            self.deliver_all()

    @rule(key=st.sampled_from(KEYS), exists=st.booleans())
    def write(self, key, exists):
        latest = self.store.latest(self.store.as_of).get(key)
        is_listed = latest is not None and latest.content is not None
        if exists or is_listed:
            self.store.write(key, b'x' if exists else None)

    @rule(number=nodes)
    def read_all(self, number):
        self.fleet.read(
            f'n{number}',
            *self.store.existing(),
            as_of=self.store.as_of,
            is_whole=True,
        )
        self.part(number, 'store-reading').record_success(
            self.fleet.clock.now_ms()
        )

    @rule(number=nodes)
    def watch(self, number):
        as_of = self.part(number, 'published-items').as_of
        if era_of(as_of) < self.store.era:
            self.read_all(number)
        elif as_of:
            self.fleet.read(
                f'n{number}',
                *self.store.after(as_of),
                as_of=self.store.as_of,
            )

    @rule(number=nodes, key=st.sampled_from(KEYS))
    def read_ahead(self, number, key):
        """Let a node learn of one key before all other changes."""
        items = self.part(number, 'published-items')
        change = self.store.latest(self.store.as_of).get(key)
        newer = items.newer([change] if change else [])
        if items.as_of and newer:
            now_ms = self.fleet.clock.now_ms()
            read = ItemsRead(
                newer, items.as_of, False, True, now_ms, is_partial=True
            )
            self.fleet.nodes[f'n{number}'].events.publish(read)

    @rule(number=nodes)
    def begin_read_all(self, number):
        existing = tuple(self.store.existing())
        now_ms = self.fleet.clock.now_ms()
        read = ItemsRead(existing, self.store.as_of, True, True, now_ms)
        self.late.append((f'n{number}', read))

    @rule(number=nodes, peer=nodes)
    def ask_peer(self, number, peer):
        answer = self.fleet.answer_of(f'n{peer}', f'n{number}')
        self.late.append((f'n{number}', answer))

    @rule(index=st.integers(0, 100))
    def receive_late(self, index):
        if self.late:
            name, read = self.late.pop(index % len(self.late))
            plan = self.fleet.part(name, 'store-reading')
            if read.from_store:
                plan.record_success(self.fleet.clock.now_ms())
            else:
                plan.record_peer_items()
            self.fleet.nodes[name].events.publish(read)

    @rule(number=nodes)
    def restart(self, number):
        # A process that has ended receives nothing any more.
        name = f'n{number}'
        self.late = [late for late in self.late if late[0] != name]
        self.fleet.start(number)

    @rule(number=nodes)
    def restart_and_read(self, number):
        self.restart(number)
        self.read_all(number)

    @rule(number=nodes, added=st.sampled_from(KEYS))
    def restart_during_a_replacement(self, number, added):
        """Let others learn of a replacement from a node that just started."""
        listed = [item.key for item in self.store.existing()]
        for key in listed[:1]:
            self.write(key, exists=False)
        self.write(added, exists=True)
        self.restart_and_read(number)
        self.pass_time(50)
        self.deliver_all()
        self.fetch_missing()
        self.deliver_all()

    @rule(lost=st.integers(0, 6))
    def restore_store(self, lost):
        self.store.restore(lost)

    @rule(duration_ms=st.sampled_from((50, 500, 3000)))
    def pass_time(self, duration_ms):
        self.fleet.run(duration_ms)

    @rule(index=st.integers(0, 100))
    def deliver_one(self, index):
        self.fleet.deliver_next(index)

    @rule(index=st.integers(0, 100))
    def drop_one(self, index):
        if self.fleet.waiting:
            self.fleet.waiting.pop(index % len(self.fleet.waiting))

    @rule()
    def deliver_all(self):
        for _ in range(len(self.fleet.waiting)):
            self.fleet.deliver_next(0)

    @rule()
    def fetch_missing(self):
        self.fleet.fetch_missing()

    @invariant()
    def check_no_change_is_skipped(self):
        """Check that each node has every change up to its own position.

        What the store has lost is not a change any more.
        """
        for number in range(NODES):
            items = self.part(number, 'published-items')
            assert items.as_of <= self.store.as_of
            if era_of(items.as_of) < self.store.era:
                continue
            newest = self.store.latest(self.store.as_of)
            for key, change in self.store.latest(items.as_of).items():
                self.check_item(change, items.items.get(key), newest[key])

    def teardown(self):
        """Check that all nodes equal the store once messages arrive again."""
        if self.fleet is None:
            # An example may end before its first step.
            return
        for number in range(NODES):
            # A node begins with a read of all items.
            if not self.part(number, 'published-items').as_of:
                self.read_all(number)
        for _ in range(SETTLE_ROUNDS):
            for name in self.fleet.readers():
                self.watch(int(name.removeprefix('n')))
            self.pass_time(500)
            self.deliver_all()
            self.fetch_missing()
            self.deliver_all()
        existing = {item.key: item for item in self.store.existing()}
        for number in range(NODES):
            items = self.part(number, 'published-items')
            assert items.as_of == self.store.as_of
            assert items.items == existing

    def check_item(self, change, item, newest):
        """Check a node's item against the last change that it should have."""
        if item is not None:
            assert item.position >= change.position
        elif change.content is not None:
            # The node may know of a removal after its revision.
            assert newest.position > change.position

    def part(self, number, name):
        return self.fleet.part(f'n{number}', name)


ItemsRelay.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
TestItemsRelay = ItemsRelay.TestCase
