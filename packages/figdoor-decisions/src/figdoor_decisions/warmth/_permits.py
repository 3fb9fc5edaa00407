"""The asking node's side of cold starts: permits from home nodes."""

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

# One round trip takes about 3 ms between availability zones; a home node
# that has not answered after this time is taken as unreachable.
ANSWER_WAIT_MS = 100.0
# An unused permit keeps others from the upstream, so it is returned early.
HOLD_MS = 100.0
MAX_QUESTIONS_PER_CALL = 3
# All nodes together ask ahead of need this often per cold upstream.
ASK_AHEAD_MS = 250.0
_STEP_MS = 0.001

Wake = Callable[[], None]


@dataclass(slots=True)
class _Question:
    permit: Permit
    wake: Wake | None


@dataclass(slots=True)
class _Asked:
    routed: RoutedCall
    upstreams: set[UpstreamId] = field(default_factory=set)


class Permits:
    """Asks home nodes, holds what they grant and returns what is unused."""

    def __init__(self, node: Node) -> None:
        """Follow answers, ended calls and the clock."""
        self._node = node
        self._ownership: Ownership = node.part(Extension.SERVICE, 'homes')
        self._evidence: WarmthEvidence = node.part(
            Extension.SERVICE,
            'warmth',
        )
        self._last_token_ms: float = 0
        self._questions: dict[tuple[UpstreamId, float], _Question] = {}
        self._held: dict[UpstreamId, list[tuple[float, Permit]]] = {}
        self._asked: dict[int, _Asked] = {}
        self._asked_ahead_ms: dict[UpstreamId, float] = {}
        node.events.subscribe(PeerMessageReceived, self._on_message)
        node.events.subscribe(CallClosed, self._on_closed)
        node.events.subscribe(Tick, self._on_tick)

    def request_permit(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        wake: Wake,
        now_ms: float,
    ) -> float:
        """Ask the home node; the answer wakes the call."""
        asked = self._asked.setdefault(id(routed), _Asked(routed))
        asked.upstreams.add(upstream.upstream_id)
        if not self._send_question(upstream, routed, wake, now_ms):
            return now_ms
        return now_ms + ANSWER_WAIT_MS

    def may_ask(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        now_ms: float,
    ) -> bool:
        """Return whether asking for this call is worth a round trip."""
        asked = self._asked.get(id(routed))
        if asked is not None:
            if len(asked.upstreams) >= MAX_QUESTIONS_PER_CALL:
                return False
            if upstream.upstream_id in asked.upstreams:
                return False
        home = self._ownership.owner_of(upstream.upstream_id)
        return home is not None and home != self._node.node_id

    def ask_ahead(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        now_ms: float,
    ) -> None:
        """Ask for a permit before any call needs it.

        Calls ask only when no other upstream is left. Without this, a cold
        upstream whose home node gets no callers would stay cold for ever.
        """
        interval_ms = ASK_AHEAD_MS * self._ownership.node_count
        last_ms = self._asked_ahead_ms.get(upstream.upstream_id)
        if last_ms is None:
            last_ms = now_ms - interval_ms * self._node.random.random()
            self._asked_ahead_ms[upstream.upstream_id] = last_ms
        if now_ms - last_ms >= interval_ms:
            self._asked_ahead_ms[upstream.upstream_id] = now_ms
            self._send_question(upstream, routed, None, now_ms)

    def find(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        now_ms: float,
    ) -> Permit | None:
        """Return a held permit that this call could use now."""
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
        connected = self._evidence.connected(permit.upstream_id)
        return permit.is_valid(routed, connected, now_ms)

    def take(self, permit: Permit) -> None:
        """Take a held permit into use."""
        held = self._held.pop(permit.upstream_id, [])
        others = [pair for pair in held if pair[1] is not permit]
        if others:
            self._held[permit.upstream_id] = others

    def give_back(
        self,
        permit: Permit,
        succeeded: bool = False,
        instance: InstanceId = NO_INSTANCE,
    ) -> None:
        """Return a permit; without ``instance`` it says nothing."""
        message = PermitReturn(
            permit.upstream_id,
            permit.token_ms,
            succeeded,
            instance,
        )
        self._node.events.publish(PeerSendRequested(permit.home, message))

    def _send_question(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        wake: Wake | None,
        now_ms: float,
    ) -> bool:
        upstream_id = upstream.upstream_id
        home = self._ownership.owner_of(upstream_id)
        if home is None or home == self._node.node_id:
            return False
        # Tokens differ even where several questions leave at one time. One
        # that is a little ahead of the clock would prolong its permit, so
        # the validity counts from the clock.
        token_ms = max(now_ms, self._last_token_ms + _STEP_MS)
        self._last_token_ms = token_ms
        covers_ms = max(0, routed.deadline_ms - now_ms) + PERMIT_VALID_MS
        permit = Permit(
            upstream_id,
            home,
            token_ms,
            now_ms + PERMIT_VALID_MS,
            now_ms + covers_ms,
            self._evidence.connected(upstream_id),
        )
        self._questions[upstream_id, token_ms] = _Question(permit, wake)
        message = PermitRequest(
            upstream_id,
            token_ms,
            covers_ms,
            permit.instance,
        )
        self._node.events.publish(PeerSendRequested(home, message))
        return True

    def _on_message(self, event: PeerMessageReceived) -> None:
        answer = event.message
        if not isinstance(answer, PermitAnswer):
            return
        key = (answer.upstream, answer.token_ms)
        question = self._questions.pop(key, None)
        if question is None or question.permit.home != event.sender:
            return
        if answer.warm_instance:
            self._evidence.claim(
                answer.upstream,
                answer.warm_instance,
                event.now_ms,
            )
        permit = question.permit
        if answer.granted and event.now_ms > permit.valid_until_ms:
            self.give_back(permit)
        elif answer.granted:
            pair = (event.now_ms + HOLD_MS, permit)
            self._held.setdefault(answer.upstream, []).append(pair)
        if question.wake is not None:
            question.wake()

    def _on_closed(self, event: CallClosed) -> None:
        self._asked.pop(id(event.routed), None)

    def _on_tick(self, event: Tick) -> None:
        now_ms = event.now_ms
        for upstream_id, held in tuple(self._held.items()):
            for until_ms, permit in tuple(held):
                if now_ms > until_ms:
                    self.take(permit)
                    self.give_back(permit)
        over = [
            key
            for key, question in self._questions.items()
            if now_ms > question.permit.covers_until_ms
        ]
        for key in over:
            self._questions.pop(key)
