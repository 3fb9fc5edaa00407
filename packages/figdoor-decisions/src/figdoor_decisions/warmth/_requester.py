"""The sender's side of cold starts: permits from the owners."""

from collections.abc import Callable
from dataclasses import dataclass, field

from figdoor_decisions.ownership import PERMIT_VALID_MS, Ownership
from figdoor_decisions.warmth._evidence import WarmthEvidence
from figdoor_decisions.warmth._permit import Permit
from figdoor_decisions.warmth._ramp import NO_INSTANCE
from figdoor_kernel import (
    CallClosed,
    Extension,
    InstanceId,
    Node,
    PeerMessageReceived,
    PeerSendRequested,
    PermitAnswer,
    PermitRequest,
    PermitReturn,
    RoutedCall,
    Tick,
    Upstream,
    UpstreamId,
)

# A round trip between availability zones takes about 3 ms. An owner that has
# not answered after this time counts as unreachable.
ANSWER_TIMEOUT_MS = 100.0
# An unused permit keeps other nodes from the upstream, so it is released long
# before it expires.
MAX_HOLD_MS = 100.0
MAX_REQUESTS_PER_CALL = 3
# Interval of the requests that all nodes together send in advance, for each
# cold upstream.
PREFETCH_INTERVAL_MS = 250.0
_TOKEN_STEP_MS = 0.001

Wake = Callable[[], None]


@dataclass(slots=True)
class _PendingRequest:
    """A request that the owner has not answered yet."""

    permit: Permit
    wake: Wake | None


@dataclass(slots=True)
class _CallRequests:
    """The upstreams that one call has requested permits for.

    It is kept under the id of ``routed``. The reference to ``routed`` keeps
    Python from reusing its id.
    """

    routed: RoutedCall
    upstreams: set[UpstreamId] = field(default_factory=set)


class PermitRequester:
    """Requests permits from owners, and holds and releases them."""

    def __init__(self, node: Node) -> None:
        """Subscribe to messages of peers, ends of calls and ticks."""
        self._node = node
        self._ownership: Ownership = node.part(Extension.SERVICE, 'homes')
        self._evidence: WarmthEvidence = node.part(
            Extension.SERVICE,
            'warmth',
        )
        self._last_token_ms: float = 0
        self._pending: dict[tuple[UpstreamId, float], _PendingRequest] = {}
        self._held: dict[UpstreamId, list[tuple[float, Permit]]] = {}
        self._requests_by_call: dict[int, _CallRequests] = {}
        self._prefetched_at_ms: dict[UpstreamId, float] = {}
        node.events.subscribe(PeerMessageReceived, self._on_message)
        node.events.subscribe(CallClosed, self._on_call_closed)
        node.events.subscribe(Tick, self._on_tick)

    def request_permit(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        wake: Wake,
        now_ms: float,
    ) -> float:
        """Request a permit from the owner; the answer calls ``wake``.

        Return until when the call should wait for the answer.
        """
        requests = self._requests_by_call.setdefault(
            id(routed), _CallRequests(routed)
        )
        requests.upstreams.add(upstream.upstream_id)
        if not self._send_request(upstream, routed, wake, now_ms):
            return now_ms
        return now_ms + ANSWER_TIMEOUT_MS

    def can_request(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        now_ms: float,
    ) -> bool:
        """Return whether to request a permit for this call.

        A call requests permits for a few upstreams at most, and only once
        for each. An upstream that this node owns needs none.
        """
        requests = self._requests_by_call.get(id(routed))
        if requests is not None:
            if len(requests.upstreams) >= MAX_REQUESTS_PER_CALL:
                return False
            if upstream.upstream_id in requests.upstreams:
                return False
        owner = self._ownership.owner_of(upstream.upstream_id)
        return owner is not None and owner != self._node.node_id

    def prefetch(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        now_ms: float,
    ) -> None:
        """Request a permit before a call needs it, once per interval.

        A call requests permits only when no other upstream is left. Without
        prefetching, a cold upstream whose owner gets no calls would stay cold.
        """
        interval_ms = PREFETCH_INTERVAL_MS * self._ownership.node_count
        last_ms = self._prefetched_at_ms.get(upstream.upstream_id)
        if last_ms is None:
            last_ms = now_ms - interval_ms * self._node.random.random()
            self._prefetched_at_ms[upstream.upstream_id] = last_ms
        if now_ms - last_ms >= interval_ms:
            self._prefetched_at_ms[upstream.upstream_id] = now_ms
            self._send_request(upstream, routed, None, now_ms)

    def find_permit(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        now_ms: float,
    ) -> Permit | None:
        """Return a held permit that is valid for this call now."""
        for _, permit in self._held.get(upstream.upstream_id, ()):
            if self.is_valid(permit, routed, now_ms):
                return permit
        return None

    def is_valid(
        self,
        permit: Permit,
        routed: RoutedCall,
        now_ms: float,
    ) -> bool:
        """Return whether the permit allows sending the call now."""
        instance = self._evidence.connected_instance(permit.upstream_id)
        return permit.is_valid(routed, instance, now_ms)

    def remove_held(self, permit: Permit) -> None:
        """Stop holding a permit that is about to be used or released."""
        held = self._held.pop(permit.upstream_id, [])
        remaining = [entry for entry in held if entry[1] is not permit]
        if remaining:
            self._held[permit.upstream_id] = remaining

    def release(
        self,
        permit: Permit,
        succeeded: bool = False,
        instance: InstanceId = NO_INSTANCE,
    ) -> None:
        """Return a permit to its owner, with the result of its request.

        Without ``instance`` the owner learns no result.
        """
        message = PermitReturn(
            permit.upstream_id,
            permit.token_ms,
            succeeded,
            instance,
        )
        self._node.events.publish(PeerSendRequested(permit.owner, message))

    def _send_request(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        wake: Wake | None,
        now_ms: float,
    ) -> bool:
        upstream_id = upstream.upstream_id
        owner = self._ownership.owner_of(upstream_id)
        if owner is None or owner == self._node.node_id:
            return False
        # Tokens are unique even for requests of the same time, so a token
        # may be ahead of the clock. The permit's validity counts from the
        # clock, since a token ahead of it would prolong the permit.
        token_ms = max(now_ms, self._last_token_ms + _TOKEN_STEP_MS)
        self._last_token_ms = token_ms
        covers_ms = max(0, routed.deadline_ms - now_ms) + PERMIT_VALID_MS
        permit = Permit(
            upstream_id,
            owner,
            token_ms,
            now_ms + PERMIT_VALID_MS,
            now_ms + covers_ms,
            self._evidence.connected_instance(upstream_id),
        )
        self._pending[upstream_id, token_ms] = _PendingRequest(permit, wake)
        message = PermitRequest(
            upstream_id,
            token_ms,
            covers_ms,
            permit.instance,
        )
        self._node.events.publish(PeerSendRequested(owner, message))
        return True

    def _on_message(self, event: PeerMessageReceived) -> None:
        answer = event.message
        if not isinstance(answer, PermitAnswer):
            return
        key = (answer.upstream, answer.token_ms)
        request = self._pending.pop(key, None)
        if request is None or request.permit.owner != event.sender:
            return
        if answer.warm_instance:
            self._evidence.accept_claim(
                answer.upstream,
                answer.warm_instance,
                event.now_ms,
            )
        permit = request.permit
        if answer.granted and event.now_ms > permit.valid_until_ms:
            self.release(permit)
        elif answer.granted:
            entry = (event.now_ms + MAX_HOLD_MS, permit)
            self._held.setdefault(answer.upstream, []).append(entry)
        if request.wake is not None:
            request.wake()

    def _on_call_closed(self, event: CallClosed) -> None:
        self._requests_by_call.pop(id(event.routed), None)

    def _on_tick(self, event: Tick) -> None:
        now_ms = event.now_ms
        for upstream_id, held in tuple(self._held.items()):
            for until_ms, permit in tuple(held):
                if now_ms > until_ms:
                    self.remove_held(permit)
                    self.release(permit)
        expired = [
            key
            for key, request in self._pending.items()
            if now_ms > request.permit.covers_until_ms
        ]
        for key in expired:
            self._pending.pop(key)
