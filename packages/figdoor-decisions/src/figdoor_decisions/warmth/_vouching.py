"""Keeps home nodes informed by those who serve on their own evidence."""

from figdoor_decisions.ownership import Ownership
from figdoor_decisions.warmth._evidence import WarmthEvidence
from figdoor_decisions.warmth._granting import VOUCH_TOKEN_MS
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

# Over the whole fleet, per upstream and lifetime of evidence.
VOUCHES_PER_LIFETIME = 9


class Vouching(Service):
    """Tells the home node now and then that an upstream is warm.

    A new home node, or one without callers, has no evidence of its own. It
    would treat a busy upstream as cold, see more running requests than it
    granted, and never get through the ramp.
    """

    def __init__(self, node: Node) -> None:
        """Follow the answers that this node gets."""
        self._node = node
        self._ownership: Ownership = node.part(Extension.SERVICE, 'homes')
        self._evidence: WarmthEvidence = node.part(
            Extension.SERVICE,
            'warmth',
        )
        self._next_ms: dict[UpstreamId, float] = {}
        node.events.subscribe(AttemptEnded, self._on_ended)

    def _on_ended(self, event: AttemptEnded) -> None:
        if event.state is not AttemptState.ANSWERED or event.failed:
            return
        upstream = self._node.fleet.find(event.upstream)
        home = self._ownership.owner_of(event.upstream)
        if upstream is None or home in {None, self._node.node_id}:
            return
        if self._evidence.is_warm(upstream, event.now_ms):
            self._vouch(event.upstream, event.now_ms)

    def _vouch(self, upstream_id: UpstreamId, now_ms: float) -> None:
        lifetime_ms = self._node.options.evidence_ms
        interval_ms = (
            lifetime_ms * self._ownership.node_count / VOUCHES_PER_LIFETIME
        )
        next_ms = self._next_ms.get(upstream_id)
        if next_ms is None:
            # Nodes that start together must not all vouch at one time.
            next_ms = now_ms + interval_ms * self._node.random.random()
            self._next_ms[upstream_id] = next_ms
        home = self._ownership.owner_of(upstream_id)
        if now_ms < next_ms or home is None:
            return
        self._next_ms[upstream_id] = now_ms + interval_ms
        message = PermitReturn(
            upstream_id,
            VOUCH_TOKEN_MS,
            succeeded=True,
            instance=self._evidence.connected(upstream_id),
        )
        self._node.events.publish(PeerSendRequested(home, message))
