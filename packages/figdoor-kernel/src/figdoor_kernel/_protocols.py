"""What plug-ins provide, as protocols.

Decision plug-ins get the time as an argument and never read a clock; points
in time are milliseconds on the node's clock.
"""

from collections.abc import Callable, Sequence
from typing import Protocol

from figdoor_kernel._calls import Call, RoutedCall
from figdoor_kernel._fleet import Upstream
from figdoor_kernel._states import AttemptState, Refusal, Verdict
from figdoor_kernel._tables import Route


class Clock(Protocol):
    """A source of time that also counts the suspension of the VM."""

    def now_ms(self) -> float:
        """Return milliseconds since an arbitrary point before the start."""


class Router(Protocol):
    """Finds the route of a call in the tables in force."""

    def find(self, call: Call) -> Route | None:
        """Return the most specific matching route, or ``None``."""


class AdmissionRule(Protocol):
    """Refuses calls before an upstream is sought for them."""

    def admit(
        self,
        routed: RoutedCall,
        attempts_made: int,
        now_ms: float,
    ) -> Refusal | None:
        """Return why no attempt may be made now, or ``None``."""


class CandidateRule(Protocol):
    """Says whether one upstream may get one call now.

    The dispatcher asks twice: before choosing, and again when the first byte
    is about to leave. The second time the attempt is already in flight.
    """

    def evaluate(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        now_ms: float,
    ) -> Verdict:
        """Return ``ASK`` where a permit from elsewhere would allow it."""

    def confirm(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        now_ms: float,
    ) -> bool:
        """Return whether the attempt already in flight may be sent.

        A rule that does not count requests in flight can inherit this.
        """
        return self.evaluate(upstream, routed, now_ms) is Verdict.ALLOW


class PermitSource(Protocol):
    """Asks elsewhere for the permit that a rule's ``ASK`` is about."""

    def request_permit(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        wake: Callable[[], None],
        now_ms: float,
    ) -> float:
        """Ask, and return the time until which an answer is worth awaiting.

        ``wake`` is called once an answer has arrived.
        """


class Chooser(Protocol):
    """Picks one of the upstreams that every rule allows."""

    def choose(
        self,
        candidates: Sequence[Upstream],
        routed: RoutedCall,
        now_ms: float,
    ) -> Upstream | None:
        """Return one of ``candidates``, which is never empty.

        ``None`` says that none of them is worth sending to now.
        """


class HedgeRule(Protocol):
    """Says when an idempotent call gets a second attempt beside the first."""

    def hedge_ms(
        self,
        routed: RoutedCall,
        upstream: Upstream,
        sent_ms: float,
    ) -> float | None:
        """Return the time, ``None`` where there is to be none."""

    def accepts(self, upstream: Upstream, now_ms: float) -> bool:
        """Return whether an upstream can take a second attempt."""


class LoadProber(Protocol):
    """Gathers news of some candidates before one of them is chosen."""

    def begin(
        self,
        candidates: Sequence[Upstream],
        routed: RoutedCall,
        wake: Callable[[], None],
        now_ms: float,
    ) -> float:
        """Return until when to wait for the news; ``now_ms`` for not at all.

        ``wake`` is called once enough is known.
        """

    def resume_ms(self, routed: RoutedCall, now_ms: float) -> float | None:
        """Return when to ask again after the chooser took no candidate.

        ``None`` says that the call is to be refused now.
        """


class RetryAdvice(Protocol):
    """Says when a refused call may be tried again."""

    def retry_after_ms(
        self,
        refusal: Refusal | None,
        routed: RoutedCall | None,
        now_ms: float,
    ) -> float:
        """Return the time to wait, in milliseconds.

        ``refusal`` is ``None`` where upstreams shed the call or took no
        connection.
        """


class ReadinessRule(Protocol):
    """Knows reasons why callers should not be sent to this node."""

    def unready_reason(self, now_ms: float) -> str | None:
        """Return why the node is not ready, or ``None``."""


class RetryRule(Protocol):
    """Limits second and later attempts."""

    def allow(
        self,
        routed: RoutedCall,
        attempts_made: int,
        last: AttemptState,
        now_ms: float,
    ) -> bool:
        """Return whether one more attempt may follow."""


class Service(Protocol):
    """A part that runs as long as the node.

    A part that only follows events inherits both methods, which do nothing.
    """

    def start(self) -> None:
        """Begin; called once after all parts were built."""

    def stop(self) -> None:
        """End; nothing may be left running afterwards."""
