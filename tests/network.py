"""Several nodes on one virtual clock, joined by a fake network."""

from random import Random

from support import ManualClock, make_node, node_vm, publish_vm_list

from figdoor_kernel import (
    BroadcastRequested,
    PeerMessageReceived,
    PeerSendRequested,
    RevisionBehind,
    TablesOffered,
    TablesPending,
    Tick,
    UpdateReceived,
)

TICK_MS = 50
FETCH_MS = 5


class Network:
    """Delivers messages after a delay, unless a link is cut.

    ``direct_news`` hands news to all other nodes without the membership
    plug-in's flooding, for tests of plug-ins that only use news. ``is_lost``
    picks messages that get lost: ``is_lost(sender_id, target_id, message)``.
    """

    def __init__(self, *node_ids, zones=('z1', 'z2'), delay_ms=1, **options):
        self.clock = ManualClock()
        self.random = Random(7)
        self.delay_ms = delay_ms
        self.direct_news = options.pop('direct_news', False)
        self.options = options
        self.zones = zones
        self.nodes = {}
        self.cut = set()
        self.paused = {}
        self.held = {}
        self.sent_messages = 0
        self.is_lost = lambda sender, target, message: False
        for node_id in node_ids:
            self.add(node_id)

    def add(self, node_id):
        """Add a node, or replace one by a node with an empty memory."""
        zone = self.zones[len(self.nodes) % len(self.zones)]
        if node_id in self.nodes:
            zone = self.nodes[node_id].availability_zone
        node = make_node(
            node_id,
            self.clock,
            zone,
            self.random.randrange(2**32),
            **self.options,
        )
        self.nodes[node_id] = node
        self.held.pop(node_id, None)
        node.events.subscribe(
            TablesPending,
            lambda event: self.held.update({node_id: event.tables}),
        )
        node.events.subscribe(
            RevisionBehind,
            lambda event: self.fetch(node, event.peer),
        )
        node.events.subscribe(
            PeerSendRequested,
            lambda event: self._send(node, event.target, event.message),
        )
        if self.direct_news:
            node.events.subscribe(
                BroadcastRequested,
                lambda event: self._tell_all(node, event.update),
            )
        return node

    def list_nodes(self, *node_ids, readers=None):
        """Let the readers (all by default) read a VM list of these nodes."""
        rows = [
            node_vm(name, self.zones[number % len(self.zones)])
            for number, name in enumerate(node_ids or self.nodes)
        ]
        for name in readers or self.nodes:
            publish_vm_list(self.nodes[name], *rows)

    def remove(self, node_id):
        """Let a node vanish without a word."""
        self.nodes.pop(node_id)

    def split(self, *groups):
        """Cut all links between the groups."""
        group_of = {name: group for group in groups for name in group}
        self.cut = {
            (one, other)
            for one in group_of
            for other in group_of
            if group_of[one] is not group_of[other]
        }

    def heal(self):
        """Restore all links."""
        self.cut = set()

    def fetch(self, node, peer):
        """Let a node ask a peer for the newest tables that the peer holds."""
        held = self.held.get(peer)
        cut = (node.node_id, peer) in self.cut
        if held is None or cut or peer in self.paused:
            return
        texts = (held.routes_text, held.pools_text)
        self._publish_later(
            node,
            lambda: TablesOffered(held.revision, *texts, self.clock.now_ms()),
            FETCH_MS,
        )

    def pause(self, node_id):
        """Freeze a node: what is sent to it waits in its buffers."""
        self.paused[node_id] = []

    def resume(self, node_id):
        """Wake a node and hand it what waited."""
        for deliver in self.paused.pop(node_id):
            deliver()

    def advance_ms(self, total_ms):
        """Let time pass in ticks."""
        left_ms = total_ms
        while left_ms > 0:
            step_ms = min(TICK_MS, left_ms)
            left_ms -= step_ms
            self.clock.advance_ms(step_ms)
            for name, node in tuple(self.nodes.items()):
                if name not in self.paused:
                    node.events.publish(Tick(self.clock.now_ms()))

    def deliver(self, receiver, delay_ms, action):
        """Run an action at a node later; it waits while the node is paused.

        It is dropped where the node was replaced in the meantime.
        """
        self.clock.reactor.callLater(
            delay_ms / 1000,
            self._run_at,
            receiver,
            action,
        )

    def _run_at(self, receiver, action):
        name = receiver.node_id
        if self.nodes.get(name) is not receiver:
            return
        if name in self.paused:
            self.paused[name].append(action)
        else:
            action()

    def _send(self, sender, target, message):
        self.sent_messages += 1
        link = (sender.node_id, target)
        if link in self.cut or target not in self.nodes:
            return
        if self.is_lost(*link, message):
            return
        receiver = self.nodes[target]
        self._publish_later(
            receiver,
            lambda: PeerMessageReceived(
                sender.node_id,
                message,
                self.clock.now_ms(),
            ),
        )

    def _tell_all(self, origin, news):
        for name, node in self.nodes.items():
            if node is not origin and (origin.node_id, name) not in self.cut:
                self._publish_later(
                    node,
                    lambda: UpdateReceived(
                        origin.node_id,
                        news,
                        self.clock.now_ms(),
                    ),
                )

    def _publish_later(self, receiver, make_event, delay_ms=None):
        self.deliver(
            receiver,
            self.delay_ms if delay_ms is None else delay_ms,
            lambda: receiver.events.publish(make_event()),
        )
