"""Answers the permit requests of other nodes for upstreams owned here."""

from figdoor_decisions.ownership import Ownership
from figdoor_decisions.warmth._allowance import ColdAllowance
from figdoor_decisions.warmth._evidence import WarmthEvidence
from figdoor_decisions.warmth._ramp import NO_INSTANCE, GrantedPermit
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

# Token of a PermitReturn that returns no permit. It carries a warm claim: a
# node with evidence of its own tells the owner which instance is warm.
WARM_CLAIM_TOKEN_MS: float = 0


class PermitGranter(Service):
    """Grants permits to other nodes and releases returned ones."""

    def __init__(self, node: Node) -> None:
        """Subscribe to messages of peers."""
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
                self._release(event.sender, event.message, event.now_ms)

    def _answer(
        self,
        sender: NodeId,
        request: PermitRequest,
        now_ms: float,
    ) -> None:
        upstream = self._node.fleet.find(request.upstream)
        granted = False
        warm = NO_INSTANCE
        if upstream is not None and self._ownership.may_act(upstream, now_ms):
            permit = GrantedPermit(
                now_ms + request.deadline_in_ms,
                request.instance,
            )
            key = (sender, request.token_ms)
            granted = self._allowance.grant(upstream, key, permit, now_ms)
            warm = self._evidence.warm_instance(request.upstream, now_ms)
        answer = PermitAnswer(request.upstream, request.token_ms, granted, warm)
        self._node.events.publish(PeerSendRequested(sender, answer))

    def _release(
        self,
        sender: NodeId,
        returned: PermitReturn,
        now_ms: float,
    ) -> None:
        if returned.token_ms == WARM_CLAIM_TOKEN_MS:
            self._evidence.accept_peer_claim(
                returned.upstream,
                returned.instance,
                now_ms,
            )
            return
        key = (sender, returned.token_ms)
        if not self._allowance.release(returned.upstream, key):
            return
        if returned.succeeded:
            self._allowance.record_success(
                returned.upstream,
                returned.instance,
                now_ms,
            )
        elif returned.instance:
            self._allowance.record_failure(returned.upstream)
