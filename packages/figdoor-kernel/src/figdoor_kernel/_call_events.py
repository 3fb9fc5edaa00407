"""Events about calls and their attempts."""

from dataclasses import dataclass

from figdoor_kernel._calls import RoutedCall
from figdoor_kernel._ids import UpstreamId
from figdoor_kernel._states import (
    AttemptState,
    Outcome,
    Outlook,
    Refusal,
)

# Timers of the event loop can fire up to this long before their due time.
_TIMER_TOLERANCE_MS = 1.0


@dataclass(frozen=True, slots=True)
class CallOpened:
    """A call was accepted and has a route."""

    routed: RoutedCall
    now_ms: float


@dataclass(frozen=True, slots=True)
class CallClosed:
    """A call ended; ``refusal`` is set if it was refused."""

    routed: RoutedCall | None
    outcome: Outcome
    refusal: Refusal | None
    latency_ms: float
    now_ms: float
    request_id: str = ''


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """An upstream was selected; from now on the attempt counts as in flight."""

    attempt_id: int
    upstream: UpstreamId
    routed: RoutedCall
    attempt_number: int
    now_ms: float


@dataclass(frozen=True, slots=True)
class CallUnplaced:
    """No upstream with a fresh load report was acceptable for a call.

    ``seen`` are the upstreams with a fresh report. ``margin`` is the highest
    multiple of the usual service time with which the call still meets its
    objective.
    """

    routed: RoutedCall
    seen: tuple[UpstreamId, ...]
    margin: float
    now_ms: float


@dataclass(frozen=True, slots=True)
class CallHeld:
    """A call found no room and waits in the queue of its service.

    ``position`` counts the calls that go before it, ``length`` all of them.
    ``slack_ms`` is the time until its work must start. The usual ``work_ms``
    of its route was learned from ``work_samples`` answers, or assumed if there
    were none.
    """

    routed: RoutedCall
    position: int
    length: int
    outlook: Outlook
    slack_ms: float
    work_ms: float
    work_samples: int
    now_ms: float


@dataclass(frozen=True, slots=True)
class CallWaiting:
    """A call waits for a permit for one of the upstreams in ``asked``."""

    routed: RoutedCall
    asked: tuple[UpstreamId, ...]
    until_ms: float
    now_ms: float


@dataclass(frozen=True, slots=True)
class AttemptSent:
    """The rules confirmed the attempt; its first byte is about to be sent."""

    attempt_id: int
    upstream: UpstreamId
    routed: RoutedCall
    now_ms: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended.

    ``failed`` is true if the response reports an error of the upstream itself,
    ``connection_died`` if the connection closed during the request,
    ``answer_begun`` if a part of the response was passed on, and ``final`` if
    no other attempt may follow.
    """

    attempt_id: int
    upstream: UpstreamId
    routed: RoutedCall
    state: AttemptState
    latency_ms: float
    failed: bool
    connection_died: bool
    now_ms: float
    answer_begun: bool = False
    final: bool = False

    @property
    def cancelled(self) -> bool:
        """Whether the attempt was cancelled before its deadline.

        Unlike a time-out, this is no evidence about the upstream.
        """
        if self.state is not AttemptState.LOST or self.connection_died:
            return False
        left_ms = self.routed.deadline_ms - self.now_ms
        return self.final and left_ms > _TIMER_TOLERANCE_MS
