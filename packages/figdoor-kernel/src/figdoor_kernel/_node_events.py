"""Events about the state of a node as a whole."""

from collections.abc import Mapping
from dataclasses import dataclass

from figdoor_kernel._states import NodeState


@dataclass(frozen=True, slots=True)
class NodeStateChanged:
    """The node became ready, unready, stopping or stopped."""

    state: NodeState
    now_ms: float


@dataclass(frozen=True, slots=True)
class StopBegun:
    """The node was told to stop; it accepts requests for the grace period."""

    grace_ms: float
    now_ms: float


@dataclass(frozen=True, slots=True)
class CallersEvicted:
    """Callers gave way, because a limit for all callers was reached.

    ``counts`` has the number for each action since the last event. The bytes
    and connections are those that the node has now for its callers.
    """

    counts: Mapping[str, int]
    held_bytes: int
    connections: int
    now_ms: float


@dataclass(frozen=True, slots=True)
class DependencyChanged:
    """A dependency of the node became unavailable or available again."""

    name: str
    is_up: bool
    reason: str
    now_ms: float


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """The node's settings were reloaded and some of them changed."""

    names: tuple[str, ...]
    now_ms: float
