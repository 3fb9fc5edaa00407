"""Limits load on cold upstreams, at selection and before each send."""

from dataclasses import dataclass

from figdoor_decisions.ownership import Ownership
from figdoor_decisions.warmth._allowance import ColdAllowance
from figdoor_decisions.warmth._evidence import WarmthEvidence
from figdoor_decisions.warmth._permit import Permit
from figdoor_decisions.warmth._ramp import NO_INSTANCE
from figdoor_decisions.warmth._requester import PermitRequester
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
class _SendBasis:
    """What allows an attempt to be sent.

    It is ``permit``, or the cold allowance of this node as the owner where
    ``uses_allowance`` is set, or else warmth evidence. ``instance`` is the
    instance that this node was connected to when it used its allowance.
    """

    attempt_id: int
    routed: RoutedCall
    permit: Permit | None = None
    uses_allowance: bool = False
    instance: InstanceId = NO_INSTANCE


class WarmthRule:
    """Allows a cold upstream only with a permit or the owner's allowance.

    Calls have one attempt at a time, so each attempt is identified by its
    call.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to starts and ends of attempts."""
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
        self._requester: PermitRequester = node.part(
            Extension.PERMIT_SOURCE,
            'cold-allowance',
        )
        self._bases: dict[int, _SendBasis] = {}
        node.events.subscribe(AttemptStarted, self._on_attempt_started)
        node.events.subscribe(AttemptEnded, self._on_attempt_ended)

    def evaluate(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        now_ms: float,
    ) -> Verdict:
        """Allow, deny, or require a permit from the owner."""
        if self._evidence.is_warm(upstream, now_ms):
            return ALLOW
        if self._ownership.owner_of(upstream.upstream_id) == self._node.node_id:
            instance = self._evidence.connected_instance(upstream.upstream_id)
            if self._allowance.can_grant(upstream, instance, now_ms):
                return ALLOW
            return DENY
        if self._requester.find_permit(upstream, routed, now_ms) is not None:
            return ALLOW
        if not self._requester.can_request(upstream, routed, now_ms):
            return DENY
        if self._evidence.bounds.in_service(upstream):
            self._requester.prefetch(upstream, routed, now_ms)
        return NEEDS_PERMIT

    def confirm(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        now_ms: float,
    ) -> bool:
        """Return whether what allowed the attempt is still valid."""
        basis = self._bases.get(id(routed))
        if basis is None:
            return False
        if basis.permit is not None:
            return self._requester.is_valid(basis.permit, routed, now_ms)
        if not basis.uses_allowance:
            return self._evidence.is_warm(upstream, now_ms)
        if not self._ownership.may_act(upstream, now_ms):
            return False
        connected = self._evidence.connected_instance(upstream.upstream_id)
        return not basis.instance or basis.instance == connected

    def _on_attempt_started(self, event: AttemptStarted) -> None:
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
    ) -> _SendBasis | None:
        now_ms = event.now_ms
        if self._evidence.is_warm(upstream, now_ms):
            return _SendBasis(event.attempt_id, event.routed)
        permit = self._requester.find_permit(upstream, event.routed, now_ms)
        if permit is not None:
            self._requester.remove_held(permit)
            return _SendBasis(event.attempt_id, event.routed, permit)
        instance = self._evidence.connected_instance(upstream.upstream_id)
        if self._allowance.acquire_own(
            upstream,
            event.attempt_id,
            instance,
            now_ms,
        ):
            return _SendBasis(
                event.attempt_id,
                event.routed,
                uses_allowance=True,
                instance=instance,
            )
        return None

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        basis = self._bases.pop(id(event.routed), None)
        if basis is None:
            return
        if basis.permit is not None:
            self._release_permit(basis.permit, event)
        elif basis.uses_allowance:
            until_ms = event.routed.deadline_ms if _may_still_run(event) else 0
            self._allowance.release_own(
                event.upstream,
                event.attempt_id,
                until_ms,
            )
            self._update_ramp(event)

    def _update_ramp(self, event: AttemptEnded) -> None:
        if event.state is AttemptState.SHED:
            self._allowance.record_shed(event.upstream)
        elif event.state is AttemptState.LOST or event.failed:
            self._allowance.record_failure(event.upstream)
        elif event.state is AttemptState.ANSWERED:
            instance = self._evidence.connected_instance(event.upstream)
            self._allowance.record_success(
                event.upstream, instance, event.now_ms
            )

    def _release_permit(self, permit: Permit, event: AttemptEnded) -> None:
        if _may_still_run(event):
            return
        instance = NO_INSTANCE
        answered = event.state is AttemptState.ANSWERED
        if answered:
            instance = self._evidence.connected_instance(event.upstream)
        succeeded = bool(instance) and not event.failed
        self._requester.release(permit, succeeded, instance)


def _may_still_run(event: AttemptEnded) -> bool:
    """Return whether the request may run at the upstream until its deadline."""
    if event.connection_died:
        return False
    return event.state is AttemptState.LOST
