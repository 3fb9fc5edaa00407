"""Exchanges published items with peers over TCP."""

from functools import partial
from heapq import nlargest
from typing import Any

from figdoor_decisions.published import PublishedItems, StoreReadingPlan
from figdoor_decisions.state_transfer import StateTransfer
from figdoor_gateway.peers._addresses import Addresses
from figdoor_gateway.peers._client import PeerClient
from figdoor_gateway.peers._contents import (
    Bases,
    LargeVersions,
    content_bytes,
    is_large,
)
from figdoor_gateway.peers._counters import RECEIVED, PeerCounters
from figdoor_gateway.peers._item_frames import (
    ItemsAnswer,
    ItemsRequest,
    decode_items_answer,
    decode_items_request,
    encode_items_answer,
    encode_items_request,
)
from figdoor_gateway.peers._item_rows import encode_item, encode_shortened
from figdoor_gateway.peers._schema import MalformedMessage
from figdoor_gateway.peers._state_frames import encode_state, is_state_request
from figdoor_gateway.peers._sync_server import PeerServer
from figdoor_kernel import (
    Extension,
    ItemsBehind,
    ItemsRead,
    Node,
    NodeId,
    Position,
    PublishedItem,
    TransferredState,
    era_of,
)

# Usually there is one large item. A request must stay short even if another
# writer adds many.
MAX_BASES = 16


class ItemsClient(PeerClient):
    """Requests published items when a digest shows that some are missing."""

    def __init__(
        self,
        node: Node,
        addresses: Addresses,
        counters: PeerCounters,
    ) -> None:
        """Subscribe to reports that this node is behind a peer."""
        super().__init__(node, addresses, counters)
        self._items: PublishedItems = node.part(
            Extension.SERVICE,
            'published-items',
        )
        self._plan: StoreReadingPlan = node.part(
            Extension.SERVICE,
            'store-reading',
        )
        # Whether a difference of a peer could not be applied.
        self._needs_contents = False
        node.events.subscribe(ItemsBehind, self._on_behind)

    def _on_behind(self, event: ItemsBehind) -> None:
        address = self._addresses.of(event.peer)
        if address is not None:
            bases = self._bases()
            request = ItemsRequest(
                self._node.node_id, self._items.as_of, tuple(bases)
            )
            self.request(
                address,
                encode_items_request(request),
                partial(self._on_answer, event.peer, bases),
            )

    def _bases(self) -> Bases:
        """Return the contents from which a peer may send the differences."""
        if self._needs_contents:
            return {}
        era = era_of(self._items.as_of)
        large = filter(is_large, self._items.items.values())
        return {
            item.position: item.content or b''
            for item in nlargest(MAX_BASES, large, key=content_bytes)
            if era_of(item.position) == era
        }

    def _on_answer(self, peer: NodeId, bases: Bases, frame: bytes) -> None:
        self._needs_contents = False
        try:
            answer = decode_items_answer(frame, bases)
        except MalformedMessage:
            self._needs_contents = True
            raise
        self.counters.count(RECEIVED, ItemsAnswer.__name__, len(frame))
        now_ms = self._node.clock.now_ms()
        items_read = ItemsRead(
            answer.items,
            answer.as_of,
            answer.is_whole,
            from_store=False,
            now_ms=now_ms,
            peer=peer,
            existing_keys=answer.existing_keys,
        )
        self._node.events.publish(items_read)
        self._items.confirm(answer.as_of, answer.age_ms, peer, now_ms)
        self._plan.record_peer_items()


class ItemsServer(PeerServer):
    """Answers requests of peers for published items and for state."""

    def __init__(
        self,
        node: Node,
        addresses: Addresses,
        counters: PeerCounters,
    ) -> None:
        """Look up the items of this node."""
        super().__init__(addresses, counters)
        self._node = node
        self._items: PublishedItems = node.part(
            Extension.SERVICE,
            'published-items',
        )
        self._transfer: StateTransfer = node.part(
            Extension.SERVICE,
            'state-transfer',
        )
        self._versions = LargeVersions(node)

    def make_answer(self, frame: bytes) -> tuple[str, bytes]:
        """Return the state, or the items after the position in the request."""
        if is_state_request(frame):
            return self._make_state_answer(frame)
        request = decode_items_request(frame)
        self.counters.count(RECEIVED, ItemsRequest.__name__, len(frame))
        changes = self._items.changes_after(request.after)
        answer = ItemsAnswer(
            changes.as_of,
            changes.is_whole,
            self._items.age_ms(self._node.clock.now_ms()),
            changes.items,
            changes.existing_keys,
        )
        encode = encode_item
        if request.bases is not None:
            encode = partial(self._encode, frozenset(request.bases))
        return ItemsAnswer.__name__, encode_items_answer(answer, encode)

    def _make_state_answer(self, frame: bytes) -> tuple[str, bytes]:
        name = TransferredState.__name__
        self.counters.count(RECEIVED, name, len(frame))
        state = self._transfer.state(self._node.clock.now_ms())
        return name, encode_state(state)

    def _encode(
        self, bases: frozenset[Position], item: PublishedItem
    ) -> dict[str, Any]:
        if not is_large(item):
            return encode_item(item)
        shortened, base = self._versions.shorten(item, bases)
        return encode_shortened(item, shortened, base)
