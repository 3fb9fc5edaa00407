"""The dispatcher, which opens an exchange for each call.

It does not depend on any encoding, so that any front end can use it.
"""

from collections.abc import Callable, Container
from itertools import count

from figdoor_kernel._call_events import (
    CallOpened,
)
from figdoor_kernel._calls import Call, Caller, RoutedCall
from figdoor_kernel._exchange import Exchange
from figdoor_kernel._fleet import Upstream
from figdoor_kernel._ids import TenantName, UpstreamId
from figdoor_kernel._node import Node
from figdoor_kernel._protocols import (
    AdmissionRule,
    AdmissionSource,
    CallQueue,
    CandidateRule,
    Chooser,
    HedgeRule,
    LoadProber,
    PermitSource,
    RetryAdvice,
    RetryRule,
    Router,
    TenantResolver,
)
from figdoor_kernel._registry import Extension
from figdoor_kernel._splitting import Splitter
from figdoor_kernel._states import (
    ALLOW,
    DENY,
    NEEDS_PERMIT,
    AttemptState,
    KeyState,
    Outcome,
    Refusal,
    Verdict,
)
from figdoor_kernel._tables import Route, Tenant

UNNAMED_TENANT = TenantName('unnamed')


class Dispatcher:
    """Opens exchanges and holds the decision parts that they use."""

    def __init__(self, node: Node) -> None:
        """Build the decision parts of the node."""
        self.node = node
        self.router: Router = node.part(Extension.ROUTER, 'longest-prefix')
        self._tenant_resolver: TenantResolver = node.part(
            Extension.TENANT_RESOLVER,
            'key',
        )
        self.chooser: Chooser = node.part(
            Extension.CHOOSER,
            node.options.chooser,
        )
        self.admission_rules: tuple[AdmissionRule, ...] = node.parts(
            Extension.ADMISSION_RULE,
        )
        self.admission_sources: tuple[AdmissionSource, ...] = node.parts(
            Extension.ADMISSION_SOURCE,
        )
        self.candidate_rules: tuple[CandidateRule, ...] = node.parts(
            Extension.CANDIDATE_RULE,
        )
        self.permit_sources: tuple[PermitSource, ...] = node.parts(
            Extension.PERMIT_SOURCE,
        )
        self._retry_rules: tuple[RetryRule, ...] = node.parts(
            Extension.RETRY_RULE,
        )
        self.load_probers: tuple[LoadProber, ...] = node.parts(
            Extension.LOAD_PROBER,
        )
        self.call_queues: tuple[CallQueue, ...] = node.parts(
            Extension.CALL_QUEUE,
        )
        self.hedge_rules: tuple[HedgeRule, ...] = node.parts(
            Extension.HEDGE_RULE,
        )
        self.retry_advice: tuple[RetryAdvice, ...] = node.parts(
            Extension.RETRY_ADVICE,
        )
        self.attempt_ids = count(1)
        self._splitter = Splitter()

    def open(
        self,
        call: Call,
        now_ms: float,
        wake: Callable[[], None],
        received_ms: float | None = None,
    ) -> Exchange:
        """Return the exchange of one call.

        ``wake`` is called when a call that got ``Wait`` can continue. The
        time limits of the call count from ``received_ms``, by default
        ``now_ms``: its body may have taken a part of the caller's time. If a
        plug-in fails, the exchange has already ended.
        """
        try:
            routed = self._route(
                call, now_ms if received_ms is None else received_ms
            )
        except Exception as error:
            self.node.events.report_error(error, now_ms)
            failed = Exchange(self, None, now_ms, wake, call.request_id)
            failed.fail(now_ms)
            return failed
        if isinstance(routed, Refusal):
            return Exchange(self, None, now_ms, wake, call.request_id, routed)
        exchange = Exchange(self, routed, now_ms, wake, call.request_id)
        try:
            self.node.events.publish(CallOpened(routed, now_ms))
        except Exception as error:
            self.node.events.report_error(error, now_ms)
            exchange.fail(now_ms)
        return exchange

    def evaluate(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        now_ms: float,
    ) -> Verdict:
        """Return the strictest verdict of all candidate rules."""
        strictest = ALLOW
        for rule in self.candidate_rules:
            verdict = rule.evaluate(upstream, routed, now_ms)
            if verdict is ALLOW:
                continue
            if verdict is DENY:
                return verdict
            strictest = verdict
        return strictest

    def candidates(
        self,
        routed: RoutedCall,
        tried: Container[UpstreamId],
        now_ms: float,
    ) -> tuple[list[Upstream], list[Upstream]]:
        """Return the allowed upstreams and those that need a permit."""
        allowed = []
        needing_permit = []
        for upstream in self.node.fleet.of_service(routed.pool.service):
            if upstream.upstream_id in tried:
                continue
            verdict = self.evaluate(upstream, routed, now_ms)
            if verdict is ALLOW:
                allowed.append(upstream)
            elif verdict is NEEDS_PERMIT:
                needing_permit.append(upstream)
        return allowed, needing_permit

    def refusal(
        self,
        routed: RoutedCall,
        attempts_made: int,
        now_ms: float,
    ) -> Refusal | None:
        """Return the first refusal of the admission rules, if any.

        The caller's key is checked before them, since a withdrawn key must not
        be used by a call that waited, and uses no allowance.
        """
        refusal = self._key_refusal(routed)
        if refusal is not None:
            return refusal
        for rule in self.admission_rules:
            refusal = rule.admit(routed, attempts_made, now_ms)
            if refusal is not None:
                return refusal
        return None

    def has_unknown_key(self, call: Call) -> bool:
        """Return whether a call will be refused for its key.

        A front end asks this before it reads the body of a call. If a plug-in
        fails, the body is read, and the call is checked again then.
        """
        try:
            return self._has_unknown_key(call)
        except Exception as error:
            self.node.events.report_error(error, self.node.clock.now_ms())
        return False

    def retry_after_ms(
        self,
        outcome: Outcome,
        refusal: Refusal | None,
        routed: RoutedCall | None,
        now_ms: float,
    ) -> float | None:
        """Return the time to wait before a call that was not run is retried.

        A failure of the advice must not keep the call from its end.
        """
        if outcome is not Outcome.NOT_RUN or not self.retry_advice:
            return None
        try:
            return self.retry_advice[0].retry_after_ms(refusal, routed, now_ms)
        except Exception as error:
            self.node.events.report_error(error, now_ms)
        return None

    def may_retry(
        self,
        routed: RoutedCall,
        attempts_made: int,
        last: AttemptState,
        now_ms: float,
    ) -> bool:
        """Return whether all retry rules allow another attempt.

        If one fails, the call ends with the result of its last attempt.
        """
        try:
            return all(
                rule.allow(routed, attempts_made, last, now_ms)
                for rule in self._retry_rules
            )
        except Exception as error:
            self.node.events.report_error(error, now_ms)
        return False

    def _has_unknown_key(self, call: Call) -> bool:
        tables = self.node.tables
        if tables is None or not (tables.tenants or tables.needs_key):
            return False
        route = self.router.find(call)
        if route is None:
            return False
        caller = self._tenant_resolver.resolve(call, route)
        return caller.key_state is KeyState.UNKNOWN

    def _route(self, call: Call, received_ms: float) -> RoutedCall | Refusal:
        """Return the call with its route and tenant.

        The route comes first, since it says whether the call needs a key.
        """
        tables = self.node.tables
        if tables is None:
            return Refusal.NO_TABLES
        route = self.router.find(call)
        if route is None:
            return Refusal.NO_ROUTE
        caller = self._tenant_resolver.resolve(call, route)
        if caller.key_state is KeyState.UNKNOWN:
            return Refusal.UNKNOWN_KEY
        time_left_ms: float = route.deadline_ms
        if call.time_left_ms is not None:
            time_left_ms = min(time_left_ms, call.time_left_ms)
        return RoutedCall(
            call,
            route,
            tables.pools[self._splitter.pick(route)],
            _tenant_of(route, call, caller),
            received_ms + time_left_ms,
            received_ms,
            caller.tenant,
            caller.key_state,
        )

    def _key_refusal(self, routed: RoutedCall) -> Refusal | None:
        """Compare the caller by the tables in force with the one at the start.

        A key that another tenant holds now is not unknown, so its call may be
        repeated. It is not sent, as it would run in the name of the former one.
        """
        caller = self._tenant_resolver.resolve(routed.call, routed.route)
        if caller.key_state is KeyState.UNKNOWN:
            return Refusal.UNKNOWN_KEY
        is_same_state = caller.key_state is routed.key_state
        if is_same_state and _name_of(caller.tenant) == _name_of(
            routed.tenant_record
        ):
            return None
        return Refusal.KEY_MOVED


def _name_of(tenant: Tenant | None) -> TenantName | None:
    return tenant.name if tenant else None


def _tenant_of(route: Route, call: Call, caller: Caller) -> TenantName:
    if caller.tenant is not None:
        return caller.tenant.name
    if not route.tenant_attribute:
        return route.tenant
    tenant = call.attributes.get(route.tenant_attribute, '')
    return TenantName(tenant) if tenant else UNNAMED_TENANT
