"""Choice of the callers that have to give way when a limit is reached."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum, unique

from figdoor_decisions.caller_memory._budget import SMALL_BYTES
from figdoor_kernel import CallerId

# A connection that has been active within this time is not closed in favour
# of a new one, which may be no better.
MIN_IDLE_MS = 1000.0


@unique
class CallerPhase(Enum):
    """What a connection of a caller waits for.

    ``IDLE`` connections wait for the next request, and ``NEW`` ones for the
    first. A request that is ``READING`` is incomplete, and nothing of it was
    passed on; one that is ``UPLOADING`` is passed on while it arrives. One
    that is ``RUNNING`` is complete, and waits for an upstream. ``ANSWERING``
    and ``CLOSING`` connections hold bytes that the caller has not read.
    """

    NEW = 'new'
    IDLE = 'idle'
    READING = 'reading'
    UPLOADING = 'uploading'
    RUNNING = 'running'
    ANSWERING = 'answering'
    CLOSING = 'closing'


@unique
class CallerAction(Enum):
    """What happens to a caller that gives way.

    ``REFUSE`` answers that the request was not run and closes. ``DROP_QUEUED``
    drops the requests behind the one in progress and closes after its answer.
    ``CLOSE`` ends the connection with what is in progress on it.
    """

    REFUSE = 'refuse'
    DROP_QUEUED = 'drop-queued'
    CLOSE = 'close'


@dataclass(frozen=True, slots=True)
class CallerUse:
    """What one connection holds, and what it has moved so far.

    ``held_bytes`` include ``queued_bytes``, those of requests behind the one
    in progress. ``moved_bytes`` were received or read by the caller in the
    ``held_ms`` since the connection began to hold bytes.
    """

    caller: CallerId
    phase: CallerPhase
    held_bytes: int = 0
    queued_bytes: int = 0
    moved_bytes: int = 0
    held_ms: float = 0
    idle_ms: float = 0


@dataclass(frozen=True, slots=True)
class Eviction:
    """One caller that gives way, and how."""

    caller: CallerId
    action: CallerAction


@dataclass(frozen=True, slots=True)
class _Candidate:
    """An eviction that frees ``bytes_freed``.

    Callers that keep the node waiting come before those that wait for an
    upstream, and among them those with the highest ``cost``.
    """

    eviction: Eviction
    bytes_freed: int
    waits_for_upstream: bool
    cost: float


def choose_evictions(
    uses: Iterable[CallerUse],
    excess_bytes: float,
) -> tuple[Eviction, ...]:
    """Return the evictions that free at least ``excess_bytes``, if possible.

    The cost of a caller is the bytes that it holds, times the time for which
    it holds them, times the share of its bytes that it still holds. Callers
    with many bytes, little progress and an early start therefore come first.
    Those with up to ``SMALL_BYTES`` are not chosen. A crowd that stops short of the end of its bodies
    has the highest cost, whether it sent them at once or in pieces.
    """
    candidates = [
        candidate for use in uses for candidate in _candidates_of(use)
    ]
    candidates.sort(
        key=lambda candidate: (candidate.waits_for_upstream, -candidate.cost),
    )
    chosen = []
    left_bytes = excess_bytes
    for candidate in candidates:
        if left_bytes <= 0:
            break
        left_bytes -= candidate.bytes_freed
        chosen.append(candidate.eviction)
    return tuple(chosen)


def choose_connections(
    uses: Iterable[CallerUse],
    count: int,
) -> tuple[Eviction, ...]:
    """Return up to ``count`` connections to close in favour of new ones.

    Connections that stopped in the middle of a request or an answer, or never
    sent one, come before those that wait for the next request, and those that
    stopped longest ago come first. A request that is passed on or waits for an
    upstream is not ended for a new connection.
    """
    unused = [use for use in uses if _may_make_room(use)]
    unused.sort(
        key=lambda use: (use.phase is CallerPhase.IDLE, -use.idle_ms),
    )
    return tuple(
        Eviction(use.caller, CallerAction.CLOSE) for use in unused[:count]
    )


def _candidates_of(use: CallerUse) -> Iterator[_Candidate]:
    if use.queued_bytes and use.phase is CallerPhase.RUNNING:
        yield _candidate(use, CallerAction.DROP_QUEUED, use.queued_bytes)
    rest_bytes = use.held_bytes
    if use.phase is CallerPhase.RUNNING:
        rest_bytes -= use.queued_bytes
    if rest_bytes > SMALL_BYTES:
        is_unsent = use.phase is CallerPhase.READING
        action = CallerAction.REFUSE if is_unsent else CallerAction.CLOSE
        yield _candidate(use, action, rest_bytes)


def _candidate(
    use: CallerUse,
    action: CallerAction,
    bytes_freed: int,
) -> _Candidate:
    unmoved_share = bytes_freed / (bytes_freed + use.moved_bytes)
    is_running = use.phase is CallerPhase.RUNNING
    return _Candidate(
        Eviction(use.caller, action),
        bytes_freed,
        is_running and action is CallerAction.CLOSE,
        # Callers that began at the same moment are compared by their bytes.
        bytes_freed * (use.held_ms + 1) * unmoved_share,
    )


def _may_make_room(use: CallerUse) -> bool:
    is_in_progress = use.phase in {CallerPhase.UPLOADING, CallerPhase.RUNNING}
    return use.idle_ms >= MIN_IDLE_MS and not is_in_progress
