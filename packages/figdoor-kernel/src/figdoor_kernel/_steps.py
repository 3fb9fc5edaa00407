"""Steps that an exchange returns to its front end, and attempt results."""

from dataclasses import dataclass

from figdoor_kernel._fleet import Upstream
from figdoor_kernel._ids import TenantName
from figdoor_kernel._states import AttemptState, KeyState, Outcome, Refusal


@dataclass(frozen=True, slots=True)
class Send:
    """Send the call to this upstream if ``confirm_send`` returns true.

    Unless ``key_state`` is ``UNUSED``, the upstream gets the name ``tenant``
    in place of the caller's key. It is empty if the route is public.
    """

    upstream: Upstream
    attempt_number: int
    deadline_ms: float
    key_state: KeyState = KeyState.UNUSED
    tenant: TenantName = TenantName('')


@dataclass(frozen=True, slots=True)
class Wait:
    """Call ``next_step`` at ``until_ms``, or when ``wake`` is called."""

    until_ms: float


@dataclass(frozen=True, slots=True)
class Finish:
    """Send the caller this outcome; no attempt follows.

    ``retry_after_ms`` is the time after which a call that was not run may
    be retried, or ``None`` if no advice exists.
    """

    outcome: Outcome
    refusal: Refusal | None = None
    retry_after_ms: float | None = None


Step = Send | Wait | Finish


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended, as observed by the transport.

    ``failed`` is true if the response reports an error of the upstream itself,
    and ``connection_died`` if the connection closed during the request.
    ``final`` is true if no other attempt may follow, for example because an
    inner gateway has already decided about the response or failure.
    """

    state: AttemptState
    failed: bool = False
    connection_died: bool = False
    final: bool = False
