"""Protocols that the parts of plug-ins implement.

Decision plug-ins get the time as an argument and never read a clock. Times
are milliseconds on the node's clock.
"""

from collections.abc import Callable, Sequence
from typing import Protocol

from figdoor_kernel._calls import Call, Caller, RoutedCall
from figdoor_kernel._fleet import Upstream
from figdoor_kernel._state_transfer import TransferredState
from figdoor_kernel._states import AttemptState, Refusal, Verdict
from figdoor_kernel._tables import Route


class Clock(Protocol):
    """A monotonic clock that also advances while the VM is suspended."""

    def now_ms(self) -> float:
        """Return the milliseconds since some time before the node started."""


class Router(Protocol):
    """Finds the route of a call in the current tables."""

    def find(self, call: Call) -> Route | None:
        """Return the most specific matching route, or ``None``."""


class TenantResolver(Protocol):
    """Finds the tenant of a call in the current tables."""

    def resolve(self, call: Call, route: Route) -> Caller:
        """Return who sent a call to this route."""


class AdmissionRule(Protocol):
    """Refuses calls before an upstream is selected."""

    def admit(
        self,
        routed: RoutedCall,
        attempts_made: int,
        now_ms: float,
    ) -> Refusal | None:
        """Return the reason to refuse an attempt, ``None`` to admit it."""


class AdmissionSource(Protocol):
    """Obtains what a call needs before the admission rules decide on it."""

    def request_admission(
        self,
        routed: RoutedCall,
        wake: Callable[[], None],
        now_ms: float,
    ) -> float:
        """Return the time until which the call waits, ``now_ms`` for none.

        It is called again after the wait. ``wake`` is called when the call
        can continue earlier.
        """


class CandidateRule(Protocol):
    """Decides whether a call may be sent to an upstream.

    It is applied twice: ``evaluate`` before an upstream is chosen, and
    ``confirm`` before the first byte is sent, when the attempt already counts
    as in flight.
    """

    def evaluate(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        now_ms: float,
    ) -> Verdict:
        """Return ``NEEDS_PERMIT`` if only a permit would allow the call."""

    def confirm(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        now_ms: float,
    ) -> bool:
        """Return whether the attempt in flight may be sent.

        Rules that do not count requests in flight can inherit this method.
        """
        return self.evaluate(upstream, routed, now_ms) is Verdict.ALLOW


class PermitSource(Protocol):
    """Requests the permits that a verdict ``NEEDS_PERMIT`` asks for."""

    def request_permit(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        wake: Callable[[], None],
        now_ms: float,
    ) -> float:
        """Request a permit; return the time until which to wait for it.

        ``wake`` is called when the answer has arrived.
        """


class Chooser(Protocol):
    """Chooses one of the upstreams that all rules allow."""

    def choose(
        self,
        candidates: Sequence[Upstream],
        routed: RoutedCall,
        now_ms: float,
    ) -> Upstream | None:
        """Return one of ``candidates``, which is never empty.

        ``None`` means that none of them is acceptable now.
        """


class HedgeRule(Protocol):
    """Decides when an idempotent call is hedged by a second attempt."""

    def hedge_ms(
        self,
        routed: RoutedCall,
        upstream: Upstream,
        sent_ms: float,
    ) -> float | None:
        """Return the time of the second attempt, ``None`` for never."""

    def accepts(self, upstream: Upstream, now_ms: float) -> bool:
        """Return whether an upstream may get the second attempt."""


class LoadProber(Protocol):
    """Probes the load of some candidates before one of them is chosen."""

    def begin(
        self,
        candidates: Sequence[Upstream],
        routed: RoutedCall,
        wake: Callable[[], None],
        now_ms: float,
    ) -> float:
        """Start a probe round; return the time until which to wait for it.

        The time is ``now_ms`` if there is nothing to wait for. ``wake`` is
        called when enough reports have arrived.
        """

    def resume_ms(self, routed: RoutedCall, now_ms: float) -> float | None:
        """Return the time of the next selection if no candidate was chosen.

        ``None`` means that the call is to be refused now.
        """


class CallQueue(Protocol):
    """Orders the calls that wait on this node for an upstream."""

    def hold(
        self,
        routed: RoutedCall,
        wake: Callable[[], None],
        now_ms: float,
    ) -> bool:
        """Add a call that waits; return ``False`` if it is to be refused.

        ``wake`` makes the call choose among the upstreams whose loads are
        known, without another probe round. The wait ends when an attempt
        starts or the call closes.
        """


class RetryAdvice(Protocol):
    """Advises callers when to retry a call that was not run."""

    def retry_after_ms(
        self,
        refusal: Refusal | None,
        routed: RoutedCall | None,
        now_ms: float,
    ) -> float:
        """Return the time to wait before a retry, in milliseconds.

        ``refusal`` is ``None`` if upstreams shed the call or refused the
        connection.
        """


class ReadinessRule(Protocol):
    """Checks a condition under which this node should get no calls."""

    def unready_reason(self, now_ms: float) -> str | None:
        """Return the reason why the node is not ready, or ``None``."""


class RetryRule(Protocol):
    """Limits second and later attempts."""

    def allow(
        self,
        routed: RoutedCall,
        attempts_made: int,
        last: AttemptState,
        now_ms: float,
    ) -> bool:
        """Return whether another attempt may follow one that ended as ``last``."""


class Service(Protocol):
    """A part that runs for the lifetime of the node.

    Parts that only react to events can inherit both methods, which do
    nothing.
    """

    def start(self) -> None:
        """Start the part; called once, after all parts were built."""

    def stop(self) -> None:
        """Stop the part; nothing of it may be left running."""


class TransferableState(Protocol):
    """State that is handed on to nodes that have just started.

    It is state that a node cannot learn by itself before it matters, and that
    peers know only because they were told or have seen it.
    """

    def add_to(
        self, state: TransferredState, now_ms: float
    ) -> TransferredState:
        """Return the state with the part that this node knows."""

    def adopt(self, state: TransferredState, now_ms: float) -> None:
        """Learn what a peer knows, without telling others of it."""
