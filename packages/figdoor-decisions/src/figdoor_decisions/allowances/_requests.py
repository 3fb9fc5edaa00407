"""Obtains a token for each call of a tenant that has an allowance."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum, unique
from itertools import count

from figdoor_decisions.allowances._limits import GRANT_MS
from figdoor_decisions.allowances._rooms import Rooms
from figdoor_decisions.allowances._shares import AllowanceShares
from figdoor_decisions.gossip import ZoneDelegates
from figdoor_kernel import (
    AllowanceAnswer,
    AllowanceRequest,
    AttemptSent,
    CallClosed,
    Extension,
    Node,
    NodeId,
    PeerMessage,
    PeerMessageReceived,
    PeerSendRequested,
    Refusal,
    RoutedCall,
    Service,
    TenantName,
    Tick,
)

# How long an answer is awaited; one takes up to 3 ms between zones.
ANSWER_MS = 40.0
# Other zones that are asked once the own one has no room.
MAX_REMOTE_ZONES = 2
# Range of the delay of a refused caller after the time at which there is room
# again. Callers that came back together would be refused together.
MAX_SPREAD_MS = 1000.0
_NUMBERS = 2**32


@unique
class _CallState(Enum):
    """How far a call is with its token."""

    NEW = 'new'
    ASKING = 'asking'
    GRANTED = 'granted'
    SENT = 'sent'
    REFUSED = 'refused'


@dataclass(slots=True)
class _LimitedCall:
    """A call of a tenant with an allowance.

    ``targets`` are the nodes still to ask, ``asked`` is the last one.
    ``until_ms`` is the end of the wait for its answer, or of the grant.
    """

    routed: RoutedCall
    tenant: TenantName
    wake: Callable[[], None]
    state: _CallState = _CallState.NEW
    targets: Iterator[NodeId] = field(default_factory=lambda: iter(()))
    asked: NodeId = NodeId('')
    number: int = 0
    until_ms: float = 0


@dataclass(frozen=True, slots=True)
class _Question:
    """A request in flight."""

    call: _LimitedCall
    target: NodeId
    sent_ms: float


class AllowanceRequests(Service):
    """Takes a token from this node's shares, or asks nodes that hold more.

    First it asks the holder of the own zone, then those of other zones. A
    grant is valid for ``GRANT_MS`` from the request, so that a delayed answer
    cannot add calls to a later window.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to messages, attempts, closed calls and ticks."""
        self._node = node
        self._shares: AllowanceShares = node.part(
            Extension.SERVICE,
            'allowance-shares',
        )
        self._delegates: ZoneDelegates = node.part(
            Extension.SERVICE,
            'zone-delegates',
        )
        self._rooms = Rooms()
        self._numbers = count(node.random.randrange(1, _NUMBERS))
        self._calls: dict[int, _LimitedCall] = {}
        self._questions: dict[int, _Question] = {}
        # Ends of the grants of calls that were not sent.
        self._unused_ms: dict[TenantName, list[float]] = {}
        node.events.subscribe(PeerMessageReceived, self._on_message)
        node.events.subscribe(AttemptSent, self._on_sent)
        node.events.subscribe(CallClosed, self._on_closed)
        node.events.subscribe(Tick, self._on_tick)

    def request_admission(
        self,
        routed: RoutedCall,
        wake: Callable[[], None],
        now_ms: float,
    ) -> float:
        """Obtain a token; return the time until which to wait for it."""
        tenant = routed.tenant_record
        if tenant is None or not self._shares.pool.limits(tenant.name):
            return now_ms
        call = self._calls.get(id(routed))
        if call is None:
            call = _LimitedCall(routed, tenant.name, wake)
            self._calls[id(routed)] = call
            call.targets = self._targets(now_ms)
        if call.state is _CallState.GRANTED and now_ms >= call.until_ms:
            call.state = _CallState.NEW
            call.targets = self._targets(now_ms)
        if call.state is _CallState.ASKING and now_ms >= call.until_ms:
            self._rooms.record_silence(call.asked, now_ms)
            call.state = _CallState.NEW
        if call.state is _CallState.NEW:
            self._obtain(call, now_ms)
        return call.until_ms if call.state is _CallState.ASKING else now_ms

    def admit(
        self,
        routed: RoutedCall,
        attempts_made: int,
        now_ms: float,
    ) -> Refusal | None:
        """Refuse a call that got no token, or whose grant has expired."""
        call = self._calls.get(id(routed))
        if call is None or call.state is _CallState.SENT:
            return None
        if call.state is _CallState.GRANTED and now_ms < call.until_ms:
            return None
        return Refusal.ALLOWANCE

    def retry_after_ms(self, routed: RoutedCall, now_ms: float) -> float:
        """Return a random time after the tenant has room again."""
        tenant = routed.tenant_record
        name = tenant.name if tenant else routed.tenant
        room_in_ms = self._rooms.room_in_ms(name, now_ms)
        return room_in_ms + self._node.random.uniform(0, MAX_SPREAD_MS)

    def _targets(self, now_ms: float) -> Iterator[NodeId]:
        """Return the nodes to ask: the own holder, then those of other zones.

        Of each zone it is the first delegate that is not known to be silent.
        """
        nearest = self._shares.nearest_holder
        if nearest is not None:
            yield nearest
        remote = list(self._delegates.remote)
        self._node.random.shuffle(remote)
        for delegates in remote[:MAX_REMOTE_ZONES]:
            yield from self._rooms.first_responding(delegates, now_ms)

    def _obtain(self, call: _LimitedCall, now_ms: float) -> None:
        """Take a token of this node, ask the next target, or give up."""
        unused_ms = self._unused_ms.get(call.tenant)
        while unused_ms:
            call.until_ms = unused_ms.pop()
            if now_ms < call.until_ms:
                call.state = _CallState.GRANTED
                return
        if self._shares.take(call.tenant, now_ms):
            call.state = _CallState.GRANTED
            call.until_ms = now_ms + GRANT_MS
            return
        for target in call.targets:
            if self._rooms.may_ask(target, call.tenant, now_ms):
                self._ask(call, target, now_ms)
                return
        call.state = _CallState.REFUSED

    def _ask(self, call: _LimitedCall, target: NodeId, now_ms: float) -> None:
        call.state = _CallState.ASKING
        call.asked = target
        call.number = next(self._numbers)
        call.until_ms = now_ms + ANSWER_MS
        self._questions[call.number] = _Question(call, target, now_ms)
        self._send(target, AllowanceRequest(call.tenant, call.number))

    def _on_message(self, event: PeerMessageReceived) -> None:
        match event.message:
            case AllowanceRequest() as request:
                self._answer(event.sender, request, event.now_ms)
            case AllowanceAnswer() as answer:
                question = self._questions.get(answer.number)
                if question and question.target == event.sender:
                    self._questions.pop(answer.number)
                    self._on_answer(question, answer, event.now_ms)

    def _answer(
        self, sender: NodeId, request: AllowanceRequest, now_ms: float
    ) -> None:
        pool = self._shares.pool
        if not request.number:
            pool.charge(request.tenant)
            return
        granted = self._shares.take(request.tenant, now_ms)
        room_in_ms = 0 if granted else pool.room_in_ms(request.tenant)
        answer = AllowanceAnswer(request.number, granted, room_in_ms)
        self._send(sender, answer)

    def _on_answer(
        self, question: _Question, answer: AllowanceAnswer, now_ms: float
    ) -> None:
        call = question.call
        is_awaited = (
            call.state is _CallState.ASKING and call.number == answer.number
        )
        if answer.granted:
            self._on_grant(question, now_ms, is_awaited=is_awaited)
        else:
            self._rooms.record_denial(
                question.target,
                call.tenant,
                now_ms,
                answer.room_in_ms,
                is_remote=self._delegates.is_remote(question.target),
            )
            if is_awaited:
                call.state = _CallState.NEW
        if is_awaited:
            call.wake()

    def _on_grant(
        self, question: _Question, now_ms: float, *, is_awaited: bool
    ) -> None:
        call = question.call
        until_ms = question.sent_ms + GRANT_MS
        if is_awaited:
            call.state = _CallState.GRANTED
            call.until_ms = until_ms
        elif now_ms < until_ms:
            self._keep_unused(call.tenant, until_ms)

    def _on_sent(self, event: AttemptSent) -> None:
        call = self._calls.get(id(event.routed))
        if call is None:
            return
        if call.state is not _CallState.SENT:
            call.state = _CallState.SENT
        elif self._shares.holder is None:
            self._shares.pool.charge(call.tenant)
        else:
            again = AllowanceRequest(call.tenant, 0)
            self._send(self._shares.holder, again)

    def _on_closed(self, event: CallClosed) -> None:
        call = self._calls.pop(id(event.routed), None)
        if call is None:
            return
        is_unused = call.state is _CallState.GRANTED
        if is_unused and event.now_ms < call.until_ms:
            self._keep_unused(call.tenant, call.until_ms)
        call.state = _CallState.REFUSED

    def _on_tick(self, event: Tick) -> None:
        """Forget requests that were never answered, and old grants."""
        oldest_ms = event.now_ms - GRANT_MS
        for number, question in tuple(self._questions.items()):
            if question.sent_ms > oldest_ms:
                break
            self._questions.pop(number)
        for tenant, ends_ms in tuple(self._unused_ms.items()):
            if max(ends_ms, default=0) <= event.now_ms:
                self._unused_ms.pop(tenant)
        self._rooms.expire(event.now_ms)

    def _keep_unused(self, tenant: TenantName, until_ms: float) -> None:
        self._unused_ms.setdefault(tenant, []).append(until_ms)

    def _send(self, peer: NodeId, message: PeerMessage) -> None:
        self._node.events.publish(PeerSendRequested(peer, message))
