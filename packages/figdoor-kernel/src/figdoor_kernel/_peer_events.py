"""Events about messages between nodes and about published items."""

from dataclasses import dataclass, field
from typing import ClassVar

from figdoor_kernel._ids import NodeId, Position, Revision
from figdoor_kernel._messages import PeerMessage, Update
from figdoor_kernel._published import ItemsSource, PublishedItem
from figdoor_kernel._serialized_names import SERIALIZED_NAME
from figdoor_kernel._vms import Vm


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """A message from a peer arrived."""

    sender: NodeId
    message: PeerMessage
    now_ms: float


@dataclass(frozen=True, slots=True)
class PeerSendRequested:
    """A part requests that a message be sent to one peer."""

    serialized_name: ClassVar[str] = 'PeerMessageWanted'
    target: NodeId
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class AddressSendRequested:
    """A part requests that a message be sent to an address, ``host:port``.

    It reaches seed nodes, of which only the address is known.
    """

    serialized_name: ClassVar[str] = 'GreetingWanted'
    address: str
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class ExchangeRequested:
    """A part requests an exchange of members with a peer, without delay."""

    peer: NodeId
    now_ms: float


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """The running nodes that this node knows of, itself included, changed."""

    members: tuple[Vm, ...]
    now_ms: float


@dataclass(frozen=True, slots=True)
class ItemsBehind:
    """This node lacks published items that a peer has."""

    peer: NodeId
    now_ms: float


@dataclass(frozen=True, slots=True)
class BroadcastRequested:
    """A part requests that an update be broadcast to all peers."""

    serialized_name: ClassVar[str] = 'NewsWanted'
    update: Update = field(metadata={SERIALIZED_NAME: 'news'})
    now_ms: float


@dataclass(frozen=True, slots=True)
class UpdateReceived:
    """An update from a peer arrived for the first time."""

    serialized_name: ClassVar[str] = 'NewsReceived'
    origin: NodeId
    update: Update = field(metadata={SERIALIZED_NAME: 'news'})
    now_ms: float


@dataclass(frozen=True, slots=True)
class RevisionBehind:
    """A peer has tables of a revision newer than those of this node."""

    peer: NodeId
    revision: Revision
    now_ms: float


@dataclass(frozen=True, slots=True)
class ItemsRead:
    """Published items arrived, from the store or from a peer.

    They include every change up to position ``as_of``. If ``is_whole`` is
    true, ``items`` are all items that exist; otherwise they are those that
    changed after the last position that this node had. If there are
    ``existing_keys``, they may lack removals, and any other key than these was
    removed. ``peer`` is empty for items from the store.

    With ``is_partial`` they are some of the changes, ahead of a large one that
    is still being transferred: ``as_of`` is then the one that the node has, and
    the read confirms nothing.
    """

    items: tuple[PublishedItem, ...]
    as_of: Position
    is_whole: bool
    from_store: bool
    now_ms: float
    peer: NodeId = NodeId('')
    existing_keys: frozenset[str] = frozenset()
    is_partial: bool = False

    @property
    def may_lack_removals(self) -> bool:
        """Whether ``items`` name what exists instead of all changes."""
        return self.is_whole or bool(self.existing_keys)


@dataclass(frozen=True, slots=True)
class ItemsAdvanced:
    """This node's items became complete up to a later position.

    ``changed`` counts the items that changed with it. ``peer`` is empty if the
    items came from the store.
    """

    before: Position
    as_of: Position
    source: ItemsSource
    peer: NodeId
    changed: int
    now_ms: float


@dataclass(frozen=True, slots=True)
class StoreRestored:
    """The platform's store came back from an older copy.

    It lost what it had acknowledged in the meantime. ``ItemsChanged`` follows
    with what differs between the copy and the items that this node had.
    """

    before: Position
    as_of: Position
    now_ms: float


@dataclass(frozen=True, slots=True)
class ItemsChanged:
    """This node's copy of the published items changed."""

    changed: tuple[PublishedItem, ...]
    now_ms: float
