"""Helpers that build nodes without I/O, and their tables and VM lists."""

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

# Invalid tables in which validation reports six findings.
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


# Cached because reading the metadata of all distributions takes most of the
# time that building a node needs.
installed_plugins = cache(load_plugins)


def io_free_registry(cold_starts=True, limits=True):
    """Return a registry of the installed decision plug-ins only.

    Without ``cold_starts`` every upstream counts as warm; without ``limits``
    the number of requests in flight to an upstream is not limited.
    """
    excluded = []
    if not cold_starts:
        excluded.append('figdoor_decisions.warmth')
    if not limits:
        excluded.append('figdoor_decisions.limits')
    plugins = installed_plugins()
    registry = Registry()
    for extension, factories in plugins.factories().items():
        for name, factory in factories.items():
            module = factory.__module__
            if module.startswith(tuple(excluded)):
                continue
            if module.startswith('figdoor_decisions'):
                registry.provide(extension, name, factory)
    return registry


def store_node(node_id='n1', clock=None, zone='z1', seed=1, **options):
    """Return a node of a store deployment with every decision plug-in."""
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
    """Return the decision plug-ins of a store deployment."""
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

    The plug-ins for cold starts are excluded by default: with them, a test of
    another subject would have to wait for an owner node and warm up its
    upstreams first.
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
    """Return validated tables; fails the test if there are findings."""
    result = read_tables(Revision(revision), routes, pools)
    assert is_successful(result), result.failure()
    return result.unwrap()


def upstream_vm(name, zone='z1', service='work', state=VmState.LIVE):
    """Return a VM list row for an upstream."""
    return Vm(
        VmId(name),
        ServiceName(service),
        AvailabilityZoneName(zone),
        '127.0.0.1',
        1,
        state,
    )


def node_vm(name, zone='z1', state=VmState.LIVE):
    """Return a VM list row for a figdoor node."""
    return upstream_vm(name, zone, 'figdoor', state)


def publish_tables(node, accepted=None):
    """Put tables in force and renew the config lease for them."""
    now_ms = node.clock.now_ms()
    accepted = accepted or tables()
    node.events.publish(TablesPending(accepted, now_ms))
    node.events.publish(TablesAccepted(accepted, now_ms))
    confirm_config(node, accepted.revision)


def confirm_config(node, revision=None):
    """Renew the config lease for this revision, by default that in force."""
    if revision is None:
        revision = node.tables.revision if node.tables else 1
    now_ms = node.clock.now_ms()
    node.events.publish(ConfigReadSucceeded(now_ms, revision))
    # The neighbours in a test's VM list usually do not exist, so they cannot
    # acknowledge heartbeats.
    node.part(Extension.SERVICE, 'config-lease').confirm(now_ms)


def publish_vm_list(node, *vms):
    """Publish a changed VM list with these rows on the node."""
    node.events.publish(VmListChanged(VmList(vms), node.clock.now_ms()))


def make_call(operation='GET', path='/x', tenant='t1', fingerprint=1, **fields):
    """Return a call as a front end would create it."""
    return Call(
        operation,
        'any.example',
        path,
        Fingerprint(fingerprint),
        attributes={'x-tenant': tenant},
        **fields,
    )


class Recorder:
    """Records all events of one type that a node publishes."""

    def __init__(self, node, event_type):
        self.events = []
        node.events.subscribe(event_type, self.events.append)
