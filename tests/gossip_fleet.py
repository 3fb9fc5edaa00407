"""Nodes of a store deployment that exchange messages with each other."""

from collections import Counter

from support import ManualClock, store_node

from figdoor_kernel import (
    AddressSendRequested,
    Extension,
    ItemsBehind,
    ItemsRead,
    PeerMessageReceived,
    PeerSendRequested,
    Tick,
)

STEP_MS = 50


class Fleet:
    """Nodes whose datagrams arrive at once, unless a node is cut off."""

    def __init__(self, size, zones=1):
        self.clock = ManualClock()
        self.nodes = {}
        self.cut = set()
        self.size = size
        self.zones = zones
        self.sent = Counter()
        # Nodes that noticed that they lack items, each with the peer.
        self.behind = []
        for number in range(size):
            self.start(number)

    def start(self, number):
        name = f'n{number}'
        node = store_node(
            name,
            self.clock,
            zone=f'z{number % self.zones}',
            seed=number,
            fleet_nodes=1,
            seeds=('10.0.0.0:9', '10.0.0.1:9'),
            peer_address=f'10.0.0.{number}:9',
        )
        node.events.subscribe(
            PeerSendRequested,
            lambda event: self.deliver(name, event.target, event.message),
        )
        node.events.subscribe(
            AddressSendRequested,
            lambda event: self.deliver(
                name, f'n{event.address[7:-2]}', event.message
            ),
        )
        node.events.subscribe(
            ItemsBehind, lambda event: self.behind.append((name, event.peer))
        )
        self.nodes[name] = node
        node.part(Extension.SERVICE, 'members').start()

    def deliver(self, sender, target, message):
        self.sent[sender] += 1
        if {sender, target} & self.cut or target not in self.nodes:
            return
        now_ms = self.clock.now_ms()
        self.nodes[target].events.publish(
            PeerMessageReceived(sender, message, now_ms)
        )

    def run(self, duration_ms):
        for _ in range(0, duration_ms, STEP_MS):
            self.clock.advance_ms(STEP_MS)
            for node in tuple(self.nodes.values()):
                node.events.publish(Tick(self.clock.now_ms()))

    def listed_by(self, name):
        """Return the ids of all members that a node lists."""
        return {vm.vm_id for vm in self.nodes[name].fleet.nodes()}

    def part(self, name, part):
        return self.nodes[name].part(Extension.SERVICE, part)

    def readers(self):
        return {
            name
            for name in self.nodes
            if self.part(name, 'store-readers').is_reader
        }

    def read(self, name, *items, as_of, is_whole=False):
        now_ms = self.clock.now_ms()
        self.nodes[name].events.publish(
            ItemsRead(items, as_of, is_whole, True, now_ms)
        )

    def fetch_missing(self):
        """Let each node that noticed a gap ask the peer that it heard from."""
        behind, self.behind = self.behind, []
        for name, peer in behind:
            if name in self.nodes and peer in self.nodes:
                self.fetch(name, peer)

    def fetch(self, name, peer):
        """Let a node take the items that it lacks from a peer."""
        now_ms = self.clock.now_ms()
        own = self.part(name, 'published-items')
        others = self.part(peer, 'published-items')
        answer = self.answer_of(peer, name)
        self.nodes[name].events.publish(answer)
        own.confirm(answer.as_of, others.age_ms(now_ms), peer, now_ms)
        self.part(name, 'store-reading').record_peer_items()

    def answer_of(self, peer, name):
        """Return what a peer sends to a node that asks for what it lacks."""
        own = self.part(name, 'published-items')
        changes = self.part(peer, 'published-items').changes_after(own.as_of)
        return ItemsRead(
            changes.items,
            changes.as_of,
            changes.is_whole,
            False,
            self.clock.now_ms(),
            peer,
            changes.existing_keys,
        )
