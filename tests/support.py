"""Nodes without I/O for the tests of kernel and decisions."""

from functools import cache
from random import Random

from returns.pipeline import is_successful

from figdoor_kernel import (
    AvailabilityZoneName,
    Call,
    ConfigReadSucceeded,
    Deployment,
    Extension,
    Fingerprint,
    Node,
    NodeId,
    Options,
    Registry,
    Revision,
    ServiceName,
    TablesAccepted,
    TablesPending,
    Vm,
    VmId,
    VmList,
    VmListChanged,
    VmState,
    load_plugins,
)
from figdoor_standins.clock import ManualClock
from figdoor_tables import read_tables

ROUTES = """
route, authority, path_prefix, operations, pool, idempotent, tenant, deadline_ms, retry_percent
read,  *,         /,           GET HEAD,   work, GET HEAD,   header:x-tenant, 1000, 20
write, *,         /,           POST,       work, ,           header:x-tenant, 1000, 20
"""

POOLS = """
pool, service, availability_zones, slots, connections, cold_limit, probes_per_s
*,    ,        z1 z2,              ,      ,            ,
work, work,    z1 z2,              6,     250,         1,          2
"""

# Tables with six findings.
WRONG_ROUTES = """\
route, authority, path_prefix, operations, pool, idempotent, tenant, deadline_ms, retry_percent
a,     *,         orders,      GET,        work, GET,        t1,     1000,        20
b,     *,         /b,          GET,        nope, GET,        t1,     1000,        20
c,     *,         /c,          GET,        work, POST,       t1,     0,           20
c,     *,         /d,          GET,        work, GET,        t1,     1000,        20
"""

WRONG_POOLS = """\
pool, service, availability_zones, slots, connections, cold_limit, probes_per_s
work, work,    z1,                 6,     250,         7,          2
"""


# Reading the metadata of all distributions takes most of the time that a
# node needs to be built.
installed_plugins = cache(load_plugins)


def io_free_registry(cold_starts=True, limits=True):
    """Return the installed decision plug-ins, without the gateway's.

    Without ``cold_starts`` every upstream counts as warm; without ``limits``
    any number of requests may be in flight to it.
    """
    left_out = []
    if not cold_starts:
        left_out.append('figdoor_decisions.warmth')
    if not limits:
        left_out.append('figdoor_decisions.limits')
    loaded = installed_plugins()
    registry = Registry()
    for extension, factories in loaded.factories().items():
        for name, factory in factories.items():
            module = factory.__module__
            if module.startswith(tuple(left_out)):
                continue
            if module.startswith('figdoor_decisions'):
                registry.provide(extension, name, factory)
    return registry


def store_node(node_id='n1', clock=None, zone='z1', seed=1, **options):
    """Return a node that follows a store, with every decision plug-in."""
    registry = store_plugins()
    defaults = {'chooser': 'expected-time', 'peer_address': '127.0.0.1:9'}
    return make_node(
        node_id,
        clock,
        zone,
        seed,
        registry,
        **{**defaults, **options},
    )


def store_plugins():
    """Return the decision plug-ins of nodes that follow a store."""
    return load_plugins('figdoor_decisions', Deployment.STORE)


def make_node(
    node_id='n1',
    clock=None,
    zone='z1',
    seed=1,
    registry=None,
    cold_starts=False,
    limits=True,
    **options,
):
    """Return a node with every decision plug-in built.

    Cold starts are left out unless asked for: otherwise each test of another
    subject would first have to wait for a home node and warm its upstreams.
    """
    node = Node(
        NodeId(node_id),
        AvailabilityZoneName(zone),
        clock or ManualClock(),
        Random(seed),
        registry or io_free_registry(cold_starts, limits),
        Options(**{'chooser': 'power-of-two', **options}),
    )
    for extension, factories in node.registry.factories().items():
        for name in factories:
            node.part(extension, name)
    return node


def tables(revision=1, routes=ROUTES, pools=POOLS):
    """Return accepted tables; fails the test where they have findings."""
    read = read_tables(Revision(revision), routes, pools)
    assert is_successful(read), read.failure()
    return read.unwrap()


def upstream_vm(name, zone='z1', service='work', state=VmState.LIVE):
    """Return the row of an upstream in the VM list."""
    return Vm(
        VmId(name),
        ServiceName(service),
        AvailabilityZoneName(zone),
        '127.0.0.1',
        1,
        state,
    )


def node_vm(name, zone='z1', state=VmState.LIVE):
    """Return the row of a figdoor node in the VM list."""
    return upstream_vm(name, zone, 'figdoor', state)


def give_tables(node, accepted=None):
    """Put tables in force and confirm them now."""
    now_ms = node.clock.now_ms()
    accepted = accepted or tables()
    node.events.publish(TablesPending(accepted, now_ms))
    node.events.publish(TablesAccepted(accepted, now_ms))
    confirm(node, accepted.revision)


def confirm(node, revision=None):
    """Renew the config lease as of now, for the revision in force."""
    if revision is None:
        revision = node.tables.revision if node.tables else 1
    now_ms = node.clock.now_ms()
    node.events.publish(ConfigReadSucceeded(now_ms, revision))
    # Neighbours in a test's VM list seldom exist, so nobody acknowledges.
    node.part(Extension.SERVICE, 'config-lease').confirm(now_ms)


def give_vms(node, *vms):
    """Let the node read this VM list."""
    node.events.publish(VmListChanged(VmList(vms), node.clock.now_ms()))


def make_call(operation='GET', path='/x', tenant='t1', fingerprint=1, **more):
    """Return a call as a front end would make it."""
    return Call(
        operation,
        'any.example',
        path,
        Fingerprint(fingerprint),
        attributes={'x-tenant': tenant},
        **more,
    )


class Recorder:
    """Keeps all events of one type."""

    def __init__(self, node, event_type):
        self.events = []
        node.events.subscribe(event_type, self.events.append)
