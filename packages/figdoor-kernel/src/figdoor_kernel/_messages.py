"""Messages between nodes as typed values; their encoding is elsewhere.

News is flooded over the whole fleet; the other messages go from one node to
one other.
"""

from dataclasses import dataclass, field
from typing import ClassVar

from figdoor_kernel._ids import (
    Fingerprint,
    InstanceId,
    NodeId,
    Revision,
    RouteName,
    UpstreamId,
    VmId,
)
from figdoor_kernel._published import PublishedItem
from figdoor_kernel._serialized_names import SERIALIZED_NAME
from figdoor_kernel._vms import Vm


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A question to a neighbour; ``token_ms`` is the sender's clock.

    ``recent`` lists sequence numbers of news that the neighbour may have
    missed; it asks for those that it does not know.
    """

    token_ms: float
    revision: Revision
    recent: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class HeartbeatAck:
    """The answer to a heartbeat, with the token it answers."""

    token_ms: float
    revision: Revision


@dataclass(frozen=True, slots=True)
class MissedUpdatesRequest:
    """A question for news that a heartbeat listed, by sequence number."""

    serialized_name: ClassVar[str] = 'NewsRequest'
    sequences: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class StopNotice:
    """The sender stops now."""

    serialized_name: ClassVar[str] = 'Farewell'


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """A question for one place in the cold allowance of an upstream.

    ``instance`` is the instance at the open connections of the asking node,
    empty where it has none.
    """

    upstream: UpstreamId
    token_ms: float
    deadline_in_ms: float
    instance: InstanceId = InstanceId('')


@dataclass(frozen=True, slots=True)
class PermitAnswer:
    """The home's answer: granted, already warm, or neither."""

    upstream: UpstreamId
    token_ms: float
    granted: bool
    warm_instance: InstanceId


@dataclass(frozen=True, slots=True)
class PermitReturn:
    """The end of a permitted attempt, with what came of it."""

    upstream: UpstreamId
    token_ms: float
    succeeded: bool
    instance: InstanceId


@dataclass(frozen=True, slots=True)
class UpstreamTurnedCold:
    """News: an upstream is cold again; claims for it are void."""

    upstream: UpstreamId
    instance: InstanceId


@dataclass(frozen=True, slots=True)
class UpstreamWarm:
    """News: the home vouches for one instance of an upstream."""

    upstream: UpstreamId
    instance: InstanceId


@dataclass(frozen=True, slots=True)
class UpstreamDraining:
    """News: an instance of an upstream says that it leaves."""

    upstream: UpstreamId
    instance: InstanceId


@dataclass(frozen=True, slots=True)
class UpstreamDied:
    """News: an upstream instance died while it ran this request."""

    serialized_name: ClassVar[str] = 'DeathSeen'
    route: RouteName
    fingerprint: Fingerprint
    upstream: UpstreamId
    instance: InstanceId


@dataclass(frozen=True, slots=True)
class UpstreamFailing:
    """News: an upstream instance shed a call or answered with a failure."""

    upstream: UpstreamId
    instance: InstanceId


@dataclass(frozen=True, slots=True)
class RevisionAccepted:
    """News: a node has accepted this revision of the tables."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class VmListDifference:
    """News: what leads from one version of the VM list to another.

    ``base`` and ``target`` are hashes of the platform's marks for the two
    versions. ``checksum`` is over all rows of the target.
    """

    base: int
    target: int
    checksum: int
    removed: tuple[VmId, ...]
    listed: tuple[Vm, ...]


Update = (
    UpstreamTurnedCold
    | UpstreamWarm
    | UpstreamDraining
    | UpstreamDied
    | UpstreamFailing
    | RevisionAccepted
    | VmListDifference
)


@dataclass(frozen=True, slots=True)
class FloodedUpdate:
    """A piece of news on its way, with its origin's sequence number."""

    serialized_name: ClassVar[str] = 'Flooded'
    origin: NodeId
    sequence: int
    update: Update = field(metadata={SERIALIZED_NAME: 'news'})


@dataclass(frozen=True, slots=True)
class Digest:
    """What a node knows of the published items and of other nodes.

    Nothing that changed up to ``as_of`` is missing, and nothing has changed
    since ``newest``. The store said so ``store_age_ms`` ago. ``members``
    begins with the sender itself; ``ages_ms`` says how long ago each of them
    was heard of.
    """

    as_of: Revision
    newest: Revision
    store_age_ms: float
    wants_reply: bool
    members: tuple[Vm, ...]
    ages_ms: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class ItemsPush:
    """All changes of published items after ``base``, up to ``as_of``."""

    base: Revision
    as_of: Revision
    store_age_ms: float
    items: tuple[PublishedItem, ...]


PeerMessage = (
    Heartbeat
    | HeartbeatAck
    | MissedUpdatesRequest
    | StopNotice
    | PermitRequest
    | PermitAnswer
    | PermitReturn
    | FloodedUpdate
    | Digest
    | ItemsPush
)
