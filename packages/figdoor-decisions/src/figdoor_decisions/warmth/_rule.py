"""Keeps load off cold upstreams when they are chosen and when sent to."""

from dataclasses import dataclass

from figdoor_decisions.ownership import Ownership
from figdoor_decisions.warmth._allowance import ColdAllowance
from figdoor_decisions.warmth._evidence import WarmthEvidence
from figdoor_decisions.warmth._permit import Permit
from figdoor_decisions.warmth._permits import Permits
from figdoor_decisions.warmth._ramp import NO_INSTANCE
from figdoor_kernel import (
    ALLOW,
    DENY,
    NEEDS_PERMIT,
    AttemptEnded,
    AttemptStarted,
    AttemptState,
    Extension,
    InstanceId,
    Node,
    RoutedCall,
    Upstream,
    Verdict,
)


@dataclass(frozen=True, slots=True)
class _Basis:
    """Why an attempt in flight may be sent.

    Without a permit and without ``from_allowance`` it relies on evidence.
    """

    attempt_id: int
    routed: RoutedCall
    permit: Permit | None = None
    from_allowance: bool = False
    instance: InstanceId = NO_INSTANCE


class WarmthRule:
    """Allows warm upstreams, own allowances and permits, and nothing else.

    A call has one attempt at a time, so attempts are known by their call.
    """

    def __init__(self, node: Node) -> None:
        """Follow the attempts of this node."""
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
        self._permits: Permits = node.part(
            Extension.PERMIT_SOURCE,
            'cold-allowance',
        )
        self._bases: dict[int, _Basis] = {}
        node.events.subscribe(AttemptStarted, self._on_started)
        node.events.subscribe(AttemptEnded, self._on_ended)

    def evaluate(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        now_ms: float,
    ) -> Verdict:
        """Allow, deny, or ask the home node for a permit."""
        if self._evidence.is_warm(upstream, now_ms):
            return ALLOW
        if self._ownership.owner_of(upstream.upstream_id) == self._node.node_id:
            instance = self._evidence.connected(upstream.upstream_id)
            if self._allowance.has_room(upstream, instance, now_ms):
                return ALLOW
            return DENY
        if self._permits.find(upstream, routed, now_ms) is not None:
            return ALLOW
        if not self._permits.may_ask(upstream, routed, now_ms):
            return DENY
        if self._evidence.bounds.in_service(upstream):
            self._permits.ask_ahead(upstream, routed, now_ms)
        return NEEDS_PERMIT

    def confirm(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        now_ms: float,
    ) -> bool:
        """Check that what the attempt relies on still holds."""
        basis = self._bases.get(id(routed))
        if basis is None:
            return False
        if basis.permit is not None:
            return self._permits.is_valid(basis.permit, routed, now_ms)
        if not basis.from_allowance:
            return self._evidence.is_warm(upstream, now_ms)
        if not self._ownership.may_act(upstream, now_ms):
            return False
        connected = self._evidence.connected(upstream.upstream_id)
        return not basis.instance or basis.instance == connected

    def _on_started(self, event: AttemptStarted) -> None:
        upstream = self._node.fleet.find(event.upstream)
        if upstream is None:
            return
        basis = self._find_basis(upstream, event)
        if basis is not None:
            self._bases[id(event.routed)] = basis

    def _find_basis(
        self,
        upstream: Upstream,
        event: AttemptStarted,
    ) -> _Basis | None:
        now_ms = event.now_ms
        if self._evidence.is_warm(upstream, now_ms):
            return _Basis(event.attempt_id, event.routed)
        permit = self._permits.find(upstream, event.routed, now_ms)
        if permit is not None:
            self._permits.take(permit)
            return _Basis(event.attempt_id, event.routed, permit)
        instance = self._evidence.connected(upstream.upstream_id)
        if self._allowance.take_own(
            upstream,
            event.attempt_id,
            instance,
            now_ms,
        ):
            return _Basis(
                event.attempt_id,
                event.routed,
                from_allowance=True,
                instance=instance,
            )
        return None

    def _on_ended(self, event: AttemptEnded) -> None:
        basis = self._bases.pop(id(event.routed), None)
        if basis is None:
            return
        if basis.permit is not None:
            self._return_permit(basis.permit, event)
        elif basis.from_allowance:
            ended = event.routed.deadline_ms if _runs_on(event) else 0
            self._allowance.release_own(
                event.upstream,
                event.attempt_id,
                ended,
            )
            self._learn(event)

    def _learn(self, event: AttemptEnded) -> None:
        if event.state is AttemptState.SHED:
            self._allowance.shed(event.upstream)
        elif event.state is AttemptState.LOST or event.failed:
            self._allowance.fail(event.upstream)
        elif event.state is AttemptState.ANSWERED:
            instance = self._evidence.connected(event.upstream)
            self._allowance.succeed(event.upstream, instance, event.now_ms)

    def _return_permit(self, permit: Permit, event: AttemptEnded) -> None:
        if _runs_on(event):
            return
        instance = NO_INSTANCE
        answered = event.state is AttemptState.ANSWERED
        if answered:
            instance = self._evidence.connected(event.upstream)
        succeeded = bool(instance) and not event.failed
        self._permits.give_back(permit, succeeded, instance)


def _runs_on(event: AttemptEnded) -> bool:
    """Tell whether the request may still run until its deadline."""
    if event.connection_died:
        return False
    return event.state is AttemptState.LOST
