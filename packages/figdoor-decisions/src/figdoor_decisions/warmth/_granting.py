"""Answers the permit requests of other nodes at the home node."""

from figdoor_decisions.ownership import Ownership
from figdoor_decisions.warmth._allowance import ColdAllowance
from figdoor_decisions.warmth._evidence import WarmthEvidence
from figdoor_decisions.warmth._ramp import NO_INSTANCE, Grant
from figdoor_kernel import (
    Extension,
    Node,
    NodeId,
    PeerMessageReceived,
    PeerSendRequested,
    PermitAnswer,
    PermitRequest,
    PermitReturn,
    Service,
)

# The token of a message that returns no permit: a node that serves by its own
# evidence tells the home node which instance is warm.
VOUCH_TOKEN_MS: float = 0


class PermitGranter(Service):
    """Grants permits and takes them back."""

    def __init__(self, node: Node) -> None:
        """Follow the messages of peers."""
        self._node = node
        self._ownership: Ownership = node.part(Extension.SERVICE, 'homes')
        self._evidence: WarmthEvidence = node.part(
            Extension.SERVICE,
            'warmth',
        )
        self._allowance: ColdAllowance = node.part(
            Extension.SERVICE,
            'cold-allowance',
        )
        node.events.subscribe(PeerMessageReceived, self._on_message)

    def _on_message(self, event: PeerMessageReceived) -> None:
        match event.message:
            case PermitRequest():
                self._answer(event.sender, event.message, event.now_ms)
            case PermitReturn():
                self._take_back(event.sender, event.message, event.now_ms)

    def _answer(
        self,
        sender: NodeId,
        asked: PermitRequest,
        now_ms: float,
    ) -> None:
        upstream = self._node.fleet.find(asked.upstream)
        granted = False
        warm = NO_INSTANCE
        if upstream is not None and self._ownership.may_act(upstream, now_ms):
            grant = Grant(now_ms + asked.deadline_in_ms, asked.instance)
            key = (sender, asked.token_ms)
            granted = self._allowance.take(upstream, key, grant, now_ms)
            warm = self._evidence.warm_instance(asked.upstream, now_ms)
        answer = PermitAnswer(asked.upstream, asked.token_ms, granted, warm)
        self._node.events.publish(PeerSendRequested(sender, answer))

    def _take_back(
        self,
        sender: NodeId,
        returned: PermitReturn,
        now_ms: float,
    ) -> None:
        if returned.token_ms == VOUCH_TOKEN_MS:
            self._evidence.accept_vouch(
                returned.upstream,
                returned.instance,
                now_ms,
            )
            return
        key = (sender, returned.token_ms)
        if not self._allowance.release(returned.upstream, key):
            return
        if returned.succeeded:
            self._allowance.succeed(
                returned.upstream,
                returned.instance,
                now_ms,
            )
        elif returned.instance:
            self._allowance.fail(returned.upstream)
