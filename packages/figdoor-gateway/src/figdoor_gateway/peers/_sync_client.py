"""Requests newer tables from peers over TCP."""

from loguru import logger

from figdoor_decisions.configuration import Acceptance
from figdoor_gateway.peers._addresses import Address, Addresses
from figdoor_gateway.peers._client import PeerClient
from figdoor_gateway.peers._counters import RECEIVED, PeerCounters
from figdoor_gateway.peers._frames import (
    SyncAnswer,
    SyncRequest,
    decode_answer,
    encode_request,
)
from figdoor_gateway.peers._history import StepsMismatchError, texts_from
from figdoor_kernel import (
    Extension,
    Node,
    Revision,
    RevisionBehind,
    Tables,
    TablesOffered,
    VmList,
    VmListChanged,
)


class SyncClient(PeerClient):
    """Requests tables when a heartbeat shows a newer revision."""

    def __init__(
        self,
        node: Node,
        addresses: Addresses,
        counters: PeerCounters,
    ) -> None:
        """Subscribe to reports that this node is behind a peer."""
        super().__init__(node, addresses, counters)
        self._acceptance: Acceptance = node.part(
            Extension.SERVICE,
            'acceptance',
        )
        self._wants_snapshot = False
        node.events.subscribe(RevisionBehind, self._on_behind)

    def request_vm_list(self, address: Address) -> None:
        """Request tables and VM list from a peer while this node has no list."""
        self._request_tables(address, wants_vm_list=True)

    def _on_behind(self, event: RevisionBehind) -> None:
        address = self._addresses.of(event.peer)
        if address is None or event.revision <= self._acceptance.known_revision:
            return
        self._request_tables(address, wants_vm_list=False)

    def _request_tables(self, address: Address, *, wants_vm_list: bool) -> None:
        base = self._node.tables
        request = SyncRequest(
            self._node.node_id,
            base.revision if base else Revision(0),
            self._wants_snapshot,
            wants_vm_list,
        )
        self.request(
            address,
            encode_request(request),
            lambda frame: self._on_answer(frame, base),
        )

    def _on_answer(self, frame: bytes, base: Tables | None) -> None:
        try:
            self._offer(decode_answer(frame), base)
        except StepsMismatchError as error:
            logger.warning(
                'cannot apply changes of a peer; next request is for a snapshot: {}',
                error,
            )
            self._wants_snapshot = True
            return
        self.counters.count(RECEIVED, SyncAnswer.__name__, len(frame))

    def _offer(self, answer: SyncAnswer, base: Tables | None) -> None:
        now_ms = self._node.clock.now_ms()
        if answer.vms and not self._addresses.has_vm_list:
            changed = VmListChanged(VmList(answer.vms), now_ms)
            self._node.events.publish(changed)
        if answer.revision <= self._acceptance.known_revision:
            return
        routes, pools, tenants = texts_from(answer, base)
        self._wants_snapshot = False
        self._node.events.publish(
            TablesOffered(answer.revision, routes, pools, now_ms, tenants),
        )
