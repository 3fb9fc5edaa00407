"""Asks peers for newer tables, over TCP."""

from collections.abc import Callable
from typing import Any

from loguru import logger
from twisted.internet.protocol import ClientFactory
from twisted.protocols.basic import Int32StringReceiver

from figdoor_decisions.configuration import Acceptance
from figdoor_gateway.loop import MS_PER_SECOND, call_later, cancel, reactor
from figdoor_gateway.peers._addresses import Address, Addresses
from figdoor_gateway.peers._counters import RECEIVED, PeerCounters
from figdoor_gateway.peers._frames import (
    MAX_ANSWER_BYTES,
    SyncAnswer,
    SyncRequest,
    decode_answer,
    encode_request,
)
from figdoor_gateway.peers._history import DoesNotFit, texts_from
from figdoor_gateway.peers._schema import MalformedMessage
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

# One try must leave time for another peer within the 3 s of a change.
TIMEOUT_MS = 1000

OnAnswer = Callable[[bytes | None], None]


class _Asking(Int32StringReceiver):
    """One connection: sends the question and waits for the answer."""

    MAX_LENGTH = MAX_ANSWER_BYTES

    def __init__(self, question: bytes, on_answer: OnAnswer) -> None:
        self._question = question
        self._on_answer: OnAnswer | None = on_answer
        self._timer = call_later(TIMEOUT_MS, self._abort)

    def connectionMade(self) -> None:  # noqa: N802
        """Send the question."""
        self.sendString(self._question)

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Take the answer."""
        self._abort()
        self._report(string)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Report that no answer came."""
        cancel(self._timer)
        self._report(None)

    def _abort(self) -> None:
        transport: Any = self.transport
        if transport is not None:
            transport.abortConnection()

    def _report(self, answer: bytes | None) -> None:
        on_answer = self._on_answer
        self._on_answer = None
        if on_answer is not None:
            on_answer(answer)


class AskingFactory(ClientFactory):
    """Makes one connection."""

    noisy = False

    def __init__(self, question: bytes, on_answer: OnAnswer) -> None:
        self._question = question
        self._on_answer = on_answer

    def buildProtocol(self, addr: object) -> _Asking:  # noqa: N802
        """Ask over the open connection."""
        return _Asking(self._question, self._on_answer)

    def clientConnectionFailed(  # noqa: N802
        self,
        connector: object,
        reason: object,
    ) -> None:
        """Report that no answer came."""
        self._on_answer(None)


class SyncClient:
    """Has at most one question under way.

    A question that fails is not repeated here: the next heartbeat of any
    neighbour says again that this node is behind.
    """

    def __init__(
        self,
        node: Node,
        addresses: Addresses,
        counters: PeerCounters,
    ) -> None:
        """Follow what peers say about their revisions."""
        self._node = node
        self._addresses = addresses
        self._counters = counters
        self._acceptance: Acceptance = node.part(
            Extension.SERVICE,
            'acceptance',
        )
        self._is_asking = False
        self._wants_snapshot = False
        node.events.subscribe(RevisionBehind, self._on_behind)

    def ask_stranger(self, address: Address) -> None:
        """Ask a node for its VM list too, while this node has none."""
        self._ask(address, wants_vm_list=True)

    def _on_behind(self, event: RevisionBehind) -> None:
        address = self._addresses.of(event.peer)
        if address is None or event.revision <= self._acceptance.known_revision:
            return
        self._ask(address, wants_vm_list=False)

    def _ask(self, address: Address, *, wants_vm_list: bool) -> None:
        if self._is_asking:
            return
        self._is_asking = True
        base = self._node.tables
        request = SyncRequest(
            self._node.node_id,
            base.revision if base else Revision(0),
            self._wants_snapshot,
            wants_vm_list,
        )
        factory = AskingFactory(
            encode_request(request),
            lambda frame: self._take(frame, base),
        )
        timeout_s = TIMEOUT_MS / MS_PER_SECOND
        reactor.connectTCP(*address, factory, timeout_s)

    def _take(self, frame: bytes | None, base: Tables | None) -> None:
        self._is_asking = False
        if frame is None:
            self._counters.drop('unanswered')
            return
        try:
            self._offer(decode_answer(frame), base)
        except MalformedMessage:
            self._counters.drop('malformed')
            return
        except DoesNotFit as error:
            logger.warning('peer sent steps that do not fit: {}', error)
            self._wants_snapshot = True
            return
        self._counters.count(RECEIVED, SyncAnswer.__name__, len(frame))

    def _offer(self, answer: SyncAnswer, base: Tables | None) -> None:
        now_ms = self._node.clock.now_ms()
        if answer.vms and not self._addresses.has_list:
            changed = VmListChanged(VmList(answer.vms), now_ms)
            self._node.events.publish(changed)
        if answer.revision <= self._acceptance.known_revision:
            return
        texts = texts_from(answer, base)
        self._wants_snapshot = False
        self._node.events.publish(
            TablesOffered(answer.revision, *texts, now_ms),
        )
