"""Messages between nodes as typed values, independent of their encoding.

An ``Update`` is flooded to all nodes; the other messages go from one node to
another.
"""

from dataclasses import dataclass, field
from typing import ClassVar

from figdoor_kernel._ids import (
    Fingerprint,
    InstanceId,
    NodeId,
    Position,
    Revision,
    RouteName,
    TenantName,
    UpstreamId,
    VmId,
)
from figdoor_kernel._published import PublishedItem
from figdoor_kernel._serialized_names import SERIALIZED_NAME
from figdoor_kernel._vms import Vm


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A request that a neighbour acknowledges with ``HeartbeatAck``.

    ``token_ms`` is the time on the sender's clock. ``revision`` is the newest
    one that it has read, 0 if it has no tables in force. ``recent`` lists the
    sequence numbers of its recent updates; the neighbour requests those that
    it has missed.
    """

    token_ms: float
    revision: Revision
    recent: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class HeartbeatAck:
    """The acknowledgement of a heartbeat.

    ``token_ms`` is that of the heartbeat. ``revision`` is that of the
    acknowledging node, as in ``Heartbeat``.
    """

    token_ms: float
    revision: Revision


@dataclass(frozen=True, slots=True)
class MissedUpdatesRequest:
    """A request for updates that a heartbeat listed, by sequence number."""

    serialized_name: ClassVar[str] = 'NewsRequest'
    sequences: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class StopNotice:
    """A notice that the sender is stopping."""

    serialized_name: ClassVar[str] = 'Farewell'


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """A request to the owner for a permit to send to a cold upstream.

    ``token_ms`` identifies the permit in all messages about it. Unless it is
    released, the permit expires ``deadline_in_ms`` after it was granted.
    ``instance`` is the instance that the sender's open connections lead to,
    empty if it has none.
    """

    upstream: UpstreamId
    token_ms: float
    deadline_in_ms: float
    instance: InstanceId = InstanceId('')


@dataclass(frozen=True, slots=True)
class PermitAnswer:
    """The owner's answer to a permit request: granted, warm, or denied.

    ``warm_instance`` is the instance that the owner knows to be warm, which
    needs no permit; it is empty if there is none.
    """

    upstream: UpstreamId
    token_ms: float
    granted: bool
    warm_instance: InstanceId


@dataclass(frozen=True, slots=True)
class PermitReturn:
    """The release of a permit, with the result of the attempt.

    With ``token_ms`` 0 it releases none and carries a warm claim instead.
    """

    upstream: UpstreamId
    token_ms: float
    succeeded: bool
    instance: InstanceId


@dataclass(frozen=True, slots=True)
class UpstreamTurnedCold:
    """Update: an upstream is cold again; warm claims about it are invalid."""

    upstream: UpstreamId
    instance: InstanceId


@dataclass(frozen=True, slots=True)
class UpstreamWarm:
    """Update: a warm claim of the owner for one instance of an upstream."""

    upstream: UpstreamId
    instance: InstanceId


@dataclass(frozen=True, slots=True)
class UpstreamDraining:
    """Update: an instance of an upstream reports that it is draining."""

    upstream: UpstreamId
    instance: InstanceId


@dataclass(frozen=True, slots=True)
class UpstreamDied:
    """Update: an upstream instance died while it ran this request."""

    serialized_name: ClassVar[str] = 'DeathSeen'
    route: RouteName
    fingerprint: Fingerprint
    upstream: UpstreamId
    instance: InstanceId


@dataclass(frozen=True, slots=True)
class UpstreamFailing:
    """Update: an upstream instance shed a call or answered with an error."""

    upstream: UpstreamId
    instance: InstanceId


@dataclass(frozen=True, slots=True)
class RevisionAccepted:
    """Update: the sender accepted this revision of the tables."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class VmListDifference:
    """Update: the difference between two versions of the VM list.

    ``base`` and ``target`` are hashes of the platform's ETags of the two
    versions. ``checksum`` covers all rows of the target.
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
    """An update in transit, with its origin and the sequence number there."""

    serialized_name: ClassVar[str] = 'Flooded'
    origin: NodeId
    sequence: int
    update: Update = field(metadata={SERIALIZED_NAME: 'news'})


@dataclass(frozen=True, slots=True)
class Digest:
    """A summary of the published items and members that a node has.

    The sender has every change up to position ``as_of``, and no item changed
    after ``newest``. The store confirmed this ``store_age_ms`` ago.
    ``members`` starts with the sender itself; ``ages_ms`` is the time since
    each member was last known to run. ``member_count`` is the number of all
    members that the sender knows, itself included.
    """

    as_of: Position
    newest: Position
    store_age_ms: float
    wants_reply: bool
    members: tuple[Vm, ...]
    ages_ms: tuple[int, ...]
    member_count: int = 0


@dataclass(frozen=True, slots=True)
class ItemsPush:
    """All changes to published items after ``base`` and up to ``as_of``."""

    base: Position
    as_of: Position
    store_age_ms: float
    items: tuple[PublishedItem, ...]


@dataclass(frozen=True, slots=True)
class AllowancePoll:
    """A request for the share that the receiver has of all allowances.

    ``token_ms`` is the time on the sender's clock. ``member_count`` is the
    largest number of nodes that it knew of recently.
    """

    token_ms: float
    member_count: int = 0


@dataclass(frozen=True, slots=True)
class AllowanceLease:
    """The sender lends its share of all allowances to a node that polled it.

    ``token_ms`` is that of the poll, from which the lease is measured.
    ``adds_start`` is true in the first lease after the sender's start, which
    adds what the sender could have used at once. ``member_count`` is as in
    ``AllowancePoll``.
    """

    token_ms: float
    adds_start: bool
    member_count: int = 0


@dataclass(frozen=True, slots=True)
class AllowanceRequest:
    """A request to run one call of a tenant within its allowance.

    ``number`` identifies the request in the answer. With number 0 the call
    has already been sent once more, which is counted and not answered.
    """

    tenant: TenantName
    number: int


@dataclass(frozen=True, slots=True)
class AllowanceAnswer:
    """The answer to an allowance request.

    ``room_in_ms`` is the time until the allowance has room again, 0 if the
    request was granted.
    """

    number: int
    granted: bool
    room_in_ms: float


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
    | AllowancePoll
    | AllowanceLease
    | AllowanceRequest
    | AllowanceAnswer
)
