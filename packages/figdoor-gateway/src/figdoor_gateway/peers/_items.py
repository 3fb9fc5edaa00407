"""Takes published items from peers and gives them, over TCP."""

from twisted.internet.protocol import ServerFactory

from figdoor_decisions.published import PublishedItems, StoreReadingPlan
from figdoor_gateway.loop import MS_PER_SECOND, reactor
from figdoor_gateway.peers._addresses import Addresses
from figdoor_gateway.peers._counters import RECEIVED, SENT, PeerCounters
from figdoor_gateway.peers._item_frames import (
    ItemsAnswer,
    ItemsRequest,
    decode_items_answer,
    decode_items_request,
    encode_items_answer,
    encode_items_request,
)
from figdoor_gateway.peers._schema import MalformedMessage
from figdoor_gateway.peers._sync_client import TIMEOUT_MS, AskingFactory
from figdoor_gateway.peers._sync_server import MAX_CONNECTIONS, Answering
from figdoor_kernel import Extension, ItemsBehind, ItemsRead, Node


class ItemsClient:
    """Has at most one question under way; the next digest brings another."""

    def __init__(
        self,
        node: Node,
        addresses: Addresses,
        counters: PeerCounters,
    ) -> None:
        """Follow what peers say about their items."""
        self._node = node
        self._addresses = addresses
        self._counters = counters
        self._items: PublishedItems = node.part(
            Extension.SERVICE,
            'published-items',
        )
        self._plan: StoreReadingPlan = node.part(
            Extension.SERVICE,
            'store-reading',
        )
        self._is_asking = False
        node.events.subscribe(ItemsBehind, self._on_behind)

    def _on_behind(self, event: ItemsBehind) -> None:
        address = self._addresses.of(event.peer)
        if address is None or self._is_asking:
            return
        self._is_asking = True
        request = ItemsRequest(self._node.node_id, self._items.as_of)
        factory = AskingFactory(encode_items_request(request), self._take)
        reactor.connectTCP(*address, factory, TIMEOUT_MS / MS_PER_SECOND)

    def _take(self, frame: bytes | None) -> None:
        self._is_asking = False
        if frame is None:
            self._counters.drop('unanswered')
            return
        try:
            answer = decode_items_answer(frame)
        except MalformedMessage:
            self._counters.drop('malformed')
            return
        self._counters.count(RECEIVED, ItemsAnswer.__name__, len(frame))
        now_ms = self._node.clock.now_ms()
        read = ItemsRead(
            answer.items,
            answer.as_of,
            answer.is_whole,
            from_store=False,
            now_ms=now_ms,
        )
        self._node.events.publish(read)
        self._items.confirm(answer.as_of, now_ms - answer.age_ms)
        self._plan.learn_from_peer()


class ItemsServer(ServerFactory):
    """Answers peers that lack published items."""

    noisy = False

    def __init__(
        self,
        node: Node,
        addresses: Addresses,
        counters: PeerCounters,
    ) -> None:
        """Answer from what this node knows."""
        self.counters = counters
        self.open_connections = 0
        self._node = node
        self._addresses = addresses
        self._items: PublishedItems = node.part(
            Extension.SERVICE,
            'published-items',
        )

    def buildProtocol(self, addr: object) -> Answering:  # noqa: N802
        """Take a connection."""
        self.open_connections += 1
        return Answering(self)

    def admit(self, host: str) -> bool:
        """Return whether to answer on one more connection from there."""
        if not self._addresses.has_host(host):
            self.counters.drop('unlisted-sender')
            return False
        if self.open_connections > MAX_CONNECTIONS:
            self.counters.drop('too-many-connections')
            return False
        return True

    def answer(self, frame: bytes) -> bytes | None:
        """Return the frame of the answer, ``None`` for a malformed one."""
        try:
            request = decode_items_request(frame)
        except MalformedMessage:
            self.counters.drop('malformed')
            return None
        self.counters.count(RECEIVED, ItemsRequest.__name__, len(frame))
        changes = self._items.changes_after(request.after)
        now_ms = self._node.clock.now_ms()
        answer = ItemsAnswer(
            changes.as_of,
            changes.is_whole,
            self._items.age_ms(now_ms),
            changes.items,
        )
        encoded = encode_items_answer(answer)
        self.counters.count(SENT, ItemsAnswer.__name__, len(encoded))
        return encoded
