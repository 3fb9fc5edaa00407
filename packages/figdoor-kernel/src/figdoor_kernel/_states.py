"""Enumerations of states, outcomes, refusals, sizes and verdicts."""

from enum import Enum, unique


@unique
class Outcome(Enum):
    """What the response to the caller says about its request.

    ``NOT_RUN`` means that no upstream ran it, ``UNKNOWN`` that one may have.
    """

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


@unique
class Refusal(Enum):
    """Why a call gets no attempt, or no further one."""

    NO_ROUTE = 'no-route'
    NO_TABLES = 'no-tables'
    LEASE_EXPIRED = 'lease-expired'
    NO_UPSTREAM = 'no-upstream'
    DEADLINE = 'deadline'
    TENANT_SHARE = 'tenant-share'
    QUARANTINED = 'quarantined'
    OVERLOAD = 'overload'
    STOPPING = 'stopping'
    UNKNOWN_KEY = 'unknown-key'
    KEY_MOVED = 'key-moved'
    ALLOWANCE = 'allowance'
    CALLER_MEMORY = 'caller-memory'


@unique
class KeyState(Enum):
    """What the key of a call says about its tenant.

    ``UNUSED`` means that the tables in force need no keys, and ``EXEMPT`` that
    the route of the call is public.
    """

    UNUSED = 'unused'
    EXEMPT = 'exempt'
    KNOWN = 'known'
    UNKNOWN = 'unknown'


@unique
class AttemptState(Enum):
    """The state of one attempt to run a request on an upstream.

    ``SHED`` means that the upstream declared that it did not run the request,
    ``UNSENT_FAILURE`` that no byte of it was sent, and ``LOST`` that it was
    sent and its result is unknown.
    """

    UNSENT = 'unsent'
    SENT = 'sent'
    ANSWERING = 'answering'
    ANSWERED = 'answered'
    SHED = 'shed'
    UNSENT_FAILURE = 'unsent-failure'
    LOST = 'lost'


@unique
class UpstreamState(Enum):
    """The state of an upstream in this node's local view.

    ``GONE`` means that it is not live in the VM list, or that no pool has its
    availability zone in service.
    """

    COLD = 'cold'
    WARMING = 'warming'
    SERVING = 'serving'
    DRAINING = 'draining'
    SUSPECT = 'suspect'
    GONE = 'gone'


@unique
class NodeState(Enum):
    """The state of a gateway process between its start and its exit."""

    STARTING = 'starting'
    READY = 'ready'
    UNREADY = 'unready'
    STOPPING = 'stopping'
    STOPPED = 'stopped'


@unique
class VmState(Enum):
    """The state of a VM in the platform's VM list."""

    LIVE = 'live'
    LEAVING = 'leaving'


@unique
class OverloadControl(Enum):
    """Where calls wait and give way by what a delay costs their callers.

    With ``LARGE_REQUESTS`` they do so while the tables have a route with large
    requests: such calls have much slack, which others can use.
    """

    NO = 'no'
    YES = 'yes'
    LARGE_REQUESTS = 'large-requests'


@unique
class Outlook(Enum):
    """What a call that has not been sent yet can still achieve.

    ``IN_TIME`` can meet its objective on an idle upstream, ``LATE`` only its
    deadline, and ``LOST`` neither.
    """

    IN_TIME = 'in-time'
    LATE = 'late'
    LOST = 'lost'


@unique
class RequestSize(Enum):
    """How large the usual request body of a route is.

    A ``LARGE`` body costs far more than a small one when it is transferred
    between availability zones.
    """

    SMALL = 'small'
    LARGE = 'large'


@unique
class ResponseSize(Enum):
    """How large the usual response of a route is.

    A ``LARGE`` response takes a noticeable part of a node's link, and its
    transfer between availability zones costs far more than that of a small
    one.
    """

    SMALL = 'small'
    LARGE = 'large'


@unique
class Verdict(Enum):
    """The decision of a candidate rule on one upstream for one call."""

    ALLOW = 'allow'
    DENY = 'deny'
    NEEDS_PERMIT = 'ask'


# Python 3.11 takes 122 ns to look up an enum member on its class and 11 ns
# for a module global. The rules return a verdict for each upstream of a pool.
ALLOW = Verdict.ALLOW
NEEDS_PERMIT = Verdict.NEEDS_PERMIT
DENY = Verdict.DENY
