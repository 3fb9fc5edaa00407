"""States, outcomes and reasons, each a closed set."""

from enum import Enum, unique


@unique
class Outcome(Enum):
    """What a caller is told about its request."""

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


@unique
class Refusal(Enum):
    """Why a request was refused before any upstream ran it."""

    NO_ROUTE = 'no-route'
    NO_TABLES = 'no-tables'
    LEASE_EXPIRED = 'lease-expired'
    NO_UPSTREAM = 'no-upstream'
    DEADLINE = 'deadline'
    TENANT_SHARE = 'tenant-share'
    QUARANTINED = 'quarantined'
    OVERLOAD = 'overload'


@unique
class AttemptState(Enum):
    """Where one attempt to run a request on an upstream stands."""

    UNSENT = 'unsent'
    SENT = 'sent'
    ANSWERING = 'answering'
    ANSWERED = 'answered'
    SHED = 'shed'
    UNSENT_FAILURE = 'unsent-failure'
    LOST = 'lost'


@unique
class UpstreamState(Enum):
    """How much work an upstream can bear, as far as this node knows."""

    COLD = 'cold'
    WARMING = 'warming'
    SERVING = 'serving'
    DRAINING = 'draining'
    SUSPECT = 'suspect'
    GONE = 'gone'


@unique
class NodeState(Enum):
    """Where a gateway process stands between start and exit."""

    STARTING = 'starting'
    READY = 'ready'
    UNREADY = 'unready'
    STOPPING = 'stopping'
    STOPPED = 'stopped'


@unique
class VmState(Enum):
    """What the platform's VM list says about a VM."""

    LIVE = 'live'
    LEAVING = 'leaving'


@unique
class Verdict(Enum):
    """A candidate rule's answer about one upstream for one call."""

    ALLOW = 'allow'
    DENY = 'deny'
    NEEDS_PERMIT = 'ask'


# Python 3.11 takes 122 ns to look a member up on its class and 11 ns for a
# name of a module. The rules return one for each upstream of a pool.
ALLOW = Verdict.ALLOW
NEEDS_PERMIT = Verdict.NEEDS_PERMIT
DENY = Verdict.DENY
