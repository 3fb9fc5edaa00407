"""What a node that has just started learns from the others.

Ages stand for times, since nodes have no common clock.
"""

from dataclasses import dataclass

from figdoor_kernel._ids import (
    Fingerprint,
    InstanceId,
    NodeId,
    RouteName,
    UpstreamId,
)
from figdoor_kernel._messages import UpstreamDraining


@dataclass(frozen=True, slots=True)
class ObservedCrash:
    """The end of an upstream instance while a request was in flight."""

    upstream: UpstreamId
    instance: InstanceId
    age_ms: float


@dataclass(frozen=True, slots=True)
class SuspectedRequest:
    """A request that was in flight at crashes, the oldest one first.

    ``cleared_age_ms`` is the time since a complete response cleared it, ``None``
    if there was none. Crashes before that do not count.
    """

    route: RouteName
    fingerprint: Fingerprint
    crashes: tuple[ObservedCrash, ...]
    cleared_age_ms: float | None = None


@dataclass(frozen=True, slots=True)
class TransferredState:
    """What a node has learned from its own calls and from updates.

    ``is_settled`` is false if the node has itself just started and may not
    have learned yet what the others know.
    """

    suspects: tuple[SuspectedRequest, ...] = ()
    leaving: tuple[UpstreamDraining, ...] = ()
    is_settled: bool = False


@dataclass(frozen=True, slots=True)
class StateRequested:
    """This node, which has just started, asks a peer for its state."""

    peer: NodeId
    now_ms: float


@dataclass(frozen=True, slots=True)
class StateReceived:
    """The state of a peer arrived."""

    peer: NodeId
    state: TransferredState
    now_ms: float
