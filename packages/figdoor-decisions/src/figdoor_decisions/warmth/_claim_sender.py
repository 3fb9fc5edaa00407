"""Sends warm claims to owners that may have no evidence of their own."""

from figdoor_decisions.ownership import Ownership
from figdoor_decisions.warmth._evidence import WarmthEvidence
from figdoor_decisions.warmth._granter import WARM_CLAIM_TOKEN_MS
from figdoor_kernel import (
    AttemptEnded,
    AttemptState,
    Extension,
    Node,
    PeerSendRequested,
    PermitReturn,
    Service,
    UpstreamId,
)

# Claims that all nodes together send per upstream before evidence expires.
CLAIMS_PER_LIFETIME = 9


class WarmClaimSender(Service):
    """Tells the owner at intervals that an upstream is warm.

    A new owner, or one without callers, has no evidence of its own. Without
    claims it would treat a busy upstream as cold, see more running requests
    than it granted, and never complete the ramp-up.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to the ends of attempts."""
        self._node = node
        self._ownership: Ownership = node.part(Extension.SERVICE, 'homes')
        self._evidence: WarmthEvidence = node.part(
            Extension.SERVICE,
            'warmth',
        )
        self._next_ms: dict[UpstreamId, float] = {}
        node.events.subscribe(AttemptEnded, self._on_attempt_ended)

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        if event.state is not AttemptState.ANSWERED or event.failed:
            return
        upstream = self._node.fleet.find(event.upstream)
        owner = self._ownership.owner_of(event.upstream)
        if upstream is None or owner in {None, self._node.node_id}:
            return
        if self._evidence.is_warm(upstream, event.now_ms):
            self._send_claim(event.upstream, event.now_ms)

    def _send_claim(self, upstream_id: UpstreamId, now_ms: float) -> None:
        lifetime_ms = self._node.options.evidence_ms
        interval_ms = (
            lifetime_ms * self._ownership.node_count / CLAIMS_PER_LIFETIME
        )
        next_ms = self._next_ms.get(upstream_id)
        if next_ms is None:
            # Spreads the claims of nodes that start together.
            next_ms = now_ms + interval_ms * self._node.random.random()
            self._next_ms[upstream_id] = next_ms
        owner = self._ownership.owner_of(upstream_id)
        if now_ms < next_ms or owner is None:
            return
        self._next_ms[upstream_id] = now_ms + interval_ms
        message = PermitReturn(
            upstream_id,
            WARM_CLAIM_TOKEN_MS,
            succeeded=True,
            instance=self._evidence.connected_instance(upstream_id),
        )
        self._node.events.publish(PeerSendRequested(owner, message))
