"""Events of the exchange between nodes and of what the platform publishes."""

from dataclasses import dataclass, field
from typing import ClassVar

from figdoor_kernel._ids import NodeId, Revision
from figdoor_kernel._messages import PeerMessage, Update
from figdoor_kernel._published import PublishedItem
from figdoor_kernel._serialized_names import SERIALIZED_NAME
from figdoor_kernel._vms import Vm


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """A peer's message arrived."""

    sender: NodeId
    message: PeerMessage
    now_ms: float


@dataclass(frozen=True, slots=True)
class PeerSendRequested:
    """A policy wants a message sent to one peer."""

    serialized_name: ClassVar[str] = 'PeerMessageWanted'
    target: NodeId
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class AddressSendRequested:
    """A policy wants a message sent to an address, ``host:port``.

    Nothing else is known of the node there.
    """

    serialized_name: ClassVar[str] = 'GreetingWanted'
    address: str
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """The nodes that are known to run have changed; the node itself is one."""

    members: tuple[Vm, ...]
    now_ms: float


@dataclass(frozen=True, slots=True)
class ItemsBehind:
    """A peer knows of published items that this node lacks."""

    peer: NodeId
    now_ms: float


@dataclass(frozen=True, slots=True)
class BroadcastRequested:
    """A policy wants news told to all peers."""

    serialized_name: ClassVar[str] = 'NewsWanted'
    update: Update = field(metadata={SERIALIZED_NAME: 'news'})
    now_ms: float


@dataclass(frozen=True, slots=True)
class UpdateReceived:
    """News of a peer arrived for the first time."""

    serialized_name: ClassVar[str] = 'NewsReceived'
    origin: NodeId
    update: Update = field(metadata={SERIALIZED_NAME: 'news'})
    now_ms: float


@dataclass(frozen=True, slots=True)
class RevisionBehind:
    """A peer has a newer revision than this node."""

    peer: NodeId
    revision: Revision
    now_ms: float


@dataclass(frozen=True, slots=True)
class ItemsRead:
    """Published items arrived, from the store or from a peer.

    Nothing that changed up to ``as_of`` is missing. ``is_whole`` says that
    ``items`` are all that exist; otherwise they are what changed after the
    revision known before.
    """

    items: tuple[PublishedItem, ...]
    as_of: Revision
    is_whole: bool
    from_store: bool
    now_ms: float


@dataclass(frozen=True, slots=True)
class ItemsChanged:
    """What this node knows of the published items changed."""

    changed: tuple[PublishedItem, ...]
    now_ms: float
