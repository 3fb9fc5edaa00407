"""Exchange of digests between nodes, and pushes of changed items."""

from figdoor_decisions.gossip._delegates import ZoneDelegates
from figdoor_decisions.gossip._members import Members
from figdoor_decisions.gossip._roles import StoreReaders
from figdoor_decisions.published import PublishedItems, StoreReadingPlan
from figdoor_kernel import (
    AddressSendRequested,
    Digest,
    ExchangeRequested,
    Extension,
    ItemsBehind,
    ItemsPush,
    ItemsRead,
    Node,
    NodeId,
    PeerMessageReceived,
    PeerSendRequested,
    Position,
    PublishedItem,
    Service,
    StopNotice,
    Tick,
    Vm,
)

# Interval of the random exchange of members; transfer between availability
# zones is expensive.
EXCHANGE_INTERVAL_MS = 3000.0
# One in this many exchanges goes to any member, the others to a delegate.
ANY_MEMBER_EVERY = 3
# Delegates send the members of their zone to the other zones with one in this
# many exchanges.
OTHER_ZONES_EVERY = 2
# Interval at which a node without other members contacts the seeds.
DISCOVERY_INTERVAL_MS = 200.0
# Interval at which other nodes contact the seeds that are not their members.
# After a split, parts that no longer list each other find each other this way.
SEED_INTERVAL_MS = 5000.0
# Interval at which the items of the others are confirmed, in addition to a
# confirmation after each read. One confirmation may be lost before a standby of
# the reader reads the store itself, and two before the other nodes do.
CONFIRM_INTERVAL_MS = 400.0
# Bytes of items that fit into one datagram with the rest of a push.
MAX_PUSH_BYTES = 900
# In a digest: neither the store nor a peer has confirmed the items yet.
UNKNOWN_AGE_MS = 1e9


class Relay(Service):
    """Exchanges digests with members and pushes changes from the store."""

    def __init__(self, node: Node) -> None:
        """Subscribe to messages, items that were read and ticks."""
        self._node = node
        self._members: Members = node.part(Extension.SERVICE, 'members')
        self._readers: StoreReaders = node.part(
            Extension.SERVICE,
            'store-readers',
        )
        self._items: PublishedItems = node.part(
            Extension.SERVICE,
            'published-items',
        )
        self._plan: StoreReadingPlan = node.part(
            Extension.SERVICE,
            'store-reading',
        )
        self._delegates: ZoneDelegates = node.part(
            Extension.SERVICE,
            'zone-delegates',
        )
        self._exchange_count = 0
        self._next_exchange_ms = float('-inf')
        self._next_seed_ms = float('-inf')
        self._next_confirm_ms = float('-inf')
        self._pushed_as_of = self._items.as_of
        node.events.subscribe(PeerMessageReceived, self._on_message)
        node.events.subscribe(ItemsRead, self._on_items_read)
        node.events.subscribe(ExchangeRequested, self._on_exchange_requested)
        node.events.subscribe(Tick, self._on_tick)

    def stop(self) -> None:
        """Send a stop notice, so that the others remove this node at once."""
        for peer in self._members.others:
            self._send(peer, StopNotice())

    def _on_tick(self, event: Tick) -> None:
        now_ms = event.now_ms
        if now_ms >= self._next_exchange_ms:
            self._exchange(now_ms)
        if now_ms >= self._next_seed_ms:
            self._contact_seeds(now_ms)
        if self._readers.is_standby and now_ms >= self._next_confirm_ms:
            self._send_confirmations(now_ms)

    def _exchange(self, now_ms: float) -> None:
        """Report to a delegate of the zone, at times to any member.

        The latter joins parts of the fleet that know different delegates.
        """
        self._next_exchange_ms = now_ms + EXCHANGE_INTERVAL_MS
        self._exchange_count += 1
        own_id = self._node.node_id
        delegates = self._delegates.of_zone(self._node.availability_zone)
        peers = tuple(peer for peer in delegates if peer != own_id)
        if not peers or self._exchange_count % ANY_MEMBER_EVERY == 0:
            peers = self._members.others
        if peers:
            peer = self._node.random.choice(peers)
            self._send(peer, self._sample_digest(now_ms, wants_reply=True))
        if self._delegates.is_delegate and (
            self._exchange_count % OTHER_ZONES_EVERY == 0
        ):
            self._send_zone(now_ms)

    def _on_exchange_requested(self, event: ExchangeRequested) -> None:
        digest = self._sample_digest(event.now_ms, wants_reply=True)
        self._send(event.peer, digest)

    def _send_zone(self, now_ms: float) -> None:
        """Send the members of the own zone to a delegate of each other one."""
        for rows, ages_ms in self._members.zone_chunks(now_ms):
            digest = self._make_digest(now_ms, rows, ages_ms)
            for delegates in self._delegates.remote:
                self._send(self._node.random.choice(delegates), digest)

    def _contact_seeds(self, now_ms: float) -> None:
        has_others = bool(self._members.others)
        interval_ms = SEED_INTERVAL_MS if has_others else DISCOVERY_INTERVAL_MS
        self._next_seed_ms = now_ms + interval_ms
        member_addresses = self._members.addresses()
        for address in self._node.options.seeds:
            if address != self._node.options.peer_address and (
                address not in member_addresses
            ):
                digest = self._sample_digest(now_ms, wants_reply=True)
                self._node.events.publish(AddressSendRequested(address, digest))

    def _send_confirmations(self, now_ms: float) -> None:
        """Send the age of the last read of the store to all others."""
        self._next_confirm_ms = now_ms + CONFIRM_INTERVAL_MS
        if self._items.has_read_store_recently(now_ms):
            self._confirm_to(self._delegates.recipients, now_ms)

    def _confirm_to(self, peers: tuple[NodeId, ...], now_ms: float) -> None:
        digest = self._make_digest(now_ms, self._members.own_row(), (0,))
        for peer in peers:
            self._send(peer, digest)

    def _sample_digest(
        self,
        now_ms: float,
        *,
        wants_reply: bool,
        first: tuple[NodeId, ...] = (),
    ) -> Digest:
        """Return a digest of the members ``first`` and of random ones."""
        rows, ages_ms = self._members.sample(now_ms, first)
        return self._make_digest(now_ms, rows, ages_ms, wants_reply=wants_reply)

    def _make_digest(
        self,
        now_ms: float,
        rows: tuple[Vm, ...],
        ages_ms: tuple[int, ...],
        *,
        wants_reply: bool = False,
    ) -> Digest:
        return Digest(
            self._items.as_of,
            self._items.newest,
            min(UNKNOWN_AGE_MS, self._items.age_ms(now_ms)),
            wants_reply,
            rows,
            ages_ms,
            self._members.own_count,
        )

    def _on_items_read(self, event: ItemsRead) -> None:
        """Push changes from the store to all, those from peers to the zone.

        If there are none, if they may lack removals, or if they do not fit into
        a datagram, a confirmation is sent instead, and the others fetch what
        they lack.
        """
        base = self._pushed_as_of
        self._pushed_as_of = self._items.as_of
        if event.from_store and self._readers.is_standby:
            self._pass_on(event, base, self._delegates.recipients)
        elif not event.from_store and self._delegates.is_delegate:
            self._pass_on(event, base, self._delegates.zone_members)

    def _pass_on(
        self,
        event: ItemsRead,
        base: Position,
        peers: tuple[NodeId, ...],
    ) -> None:
        # A late answer may name items that were removed in the meantime.
        items = self._items.current(event.items)
        size = sum(map(_size_of, items))
        if event.may_lack_removals or not 0 < size <= MAX_PUSH_BYTES:
            self._next_confirm_ms = event.now_ms + CONFIRM_INTERVAL_MS
            self._confirm_to(peers, event.now_ms)
            return
        age_ms = min(UNKNOWN_AGE_MS, self._items.age_ms(event.now_ms))
        push = ItemsPush(base, self._items.as_of, age_ms, items)
        for peer in peers:
            self._send(peer, push)

    def _on_message(self, event: PeerMessageReceived) -> None:
        match event.message:
            case Digest() as digest:
                self._on_digest(event.sender, digest, event.now_ms)
            case ItemsPush() as push:
                self._on_push(event.sender, push, event.now_ms)

    def _on_digest(
        self,
        sender: NodeId,
        digest: Digest,
        now_ms: float,
    ) -> None:
        if digest.wants_reply:
            self._reply(sender, digest, now_ms)
        if digest.newest > self._items.as_of:
            # Until the first read has failed or takes long, the store returns
            # what this node lacks, without transfer between zones.
            if not self._plan.is_first_read_due(now_ms):
                self._node.events.publish(ItemsBehind(sender, now_ms))
        elif digest.store_age_ms < UNKNOWN_AGE_MS:
            self._items.confirm(
                digest.as_of, digest.store_age_ms, sender, now_ms
            )
            if self._is_for_zone(sender, digest):
                self._confirm_to(self._delegates.zone_members, now_ms)

    def _is_for_zone(self, sender: NodeId, digest: Digest) -> bool:
        """Return whether to pass a confirmation on to the own zone.

        A confirmation names its sender only.
        """
        is_confirmation = not digest.wants_reply and len(digest.members) == 1
        is_remote = self._delegates.is_remote(sender)
        return is_confirmation and is_remote and self._delegates.is_delegate

    def _reply(self, sender: NodeId, digest: Digest, now_ms: float) -> None:
        """Reply with a digest that names the delegates of the sender's zone."""
        zones = [vm.availability_zone for vm in digest.members[:1]]
        first = self._delegates.of_zone(zones[0]) if zones else ()
        reply = self._sample_digest(now_ms, wants_reply=False, first=first)
        self._send(sender, reply)

    def _on_push(
        self,
        sender: NodeId,
        push: ItemsPush,
        now_ms: float,
    ) -> None:
        if push.as_of <= self._items.as_of:
            self._take_ahead(sender, push, now_ms)
            return
        if push.base > self._items.as_of:
            # What is missing may be large, and these items need not wait.
            self._take_ahead(sender, push, now_ms)
            self._node.events.publish(ItemsBehind(sender, now_ms))
            return
        read = ItemsRead(push.items, push.as_of, False, False, now_ms, sender)
        self._node.events.publish(read)
        self._items.confirm(push.as_of, push.store_age_ms, sender, now_ms)

    def _take_ahead(
        self, sender: NodeId, push: ItemsPush, now_ms: float
    ) -> None:
        """Take items whose sender still waits for a large one before them."""
        newer = self._items.newer(push.items)
        if newer:
            read = ItemsRead(
                newer,
                self._items.as_of,
                False,
                False,
                now_ms,
                sender,
                is_partial=True,
            )
            self._node.events.publish(read)

    def _send(
        self, peer: NodeId, message: Digest | ItemsPush | StopNotice
    ) -> None:
        self._node.events.publish(PeerSendRequested(peer, message))


def _size_of(item: PublishedItem) -> int:
    return len(item.key) + len(item.content or b'')
