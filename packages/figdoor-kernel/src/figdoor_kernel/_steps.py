"""What an exchange asks a front end to do, and what it is told."""

from dataclasses import dataclass

from figdoor_kernel._fleet import Upstream
from figdoor_kernel._states import AttemptState, Outcome, Refusal


@dataclass(frozen=True, slots=True)
class Send:
    """Send the call to this upstream, after ``Exchange.confirm_send``."""

    upstream: Upstream
    attempt_number: int
    deadline_ms: float


@dataclass(frozen=True, slots=True)
class Wait:
    """Ask again at ``until_ms``, or earlier when the exchange wakes you."""

    until_ms: float


@dataclass(frozen=True, slots=True)
class Finish:
    """Tell the caller this outcome; nothing more will be tried.

    ``retry_after_ms`` is when a call that was not run may succeed, where the
    deciding part knows.
    """

    outcome: Outcome
    refusal: Refusal | None = None
    retry_after_ms: float | None = None


Step = Send | Wait | Finish


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """What the transport saw at the end of an attempt.

    ``failed`` is an answer that reports an error of the upstream itself.
    ``final`` is an answer or failure that must be passed on as it is, since
    a deeper level has already decided about it.
    """

    state: AttemptState
    failed: bool = False
    connection_died: bool = False
    final: bool = False
