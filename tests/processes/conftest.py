"""Fixtures that start gateways and upstreams as processes on loopback."""

import json
import signal
from collections import Counter
from pathlib import Path

import pytest

from figdoor_standins.deployment import Deployment
from figdoor_standins.processes import http, wait_until

# The deadline of /work bounds how long a suspended upstream can delay a
# request; /slow is for transfers that take longer. Cold upstreams get their
# first requests only after the longest deadline of the service has passed.
DEADLINE_MS = 1000
ROUTES = f"""
route, authority, path_prefix, operations, pool, idempotent, tenant, deadline_ms, retry_percent
read,  *,         /work,       GET HEAD,   work, GET HEAD,   all,    {DEADLINE_MS},        20
write, *,         /work,       POST,       work, ,           all,    {DEADLINE_MS},        20
slow,  *,         /slow,       GET POST,   work, ,           all,    5000,        0
"""
POOLS = """
pool, service, availability_zones, slots, connections, cold_limit, probes_per_s
*,    ,        z1,                 ,      ,            ,
work, work,    z1,                 64,    250,         64,         2
"""

STOP_GRACE_MS = 1000

DEFAULT_BEHAVIOUR = {
    'service_ms': 2,
    'answer_bytes': 0,
    'shed_all': 0,
    'truncate': 0,
    'reset_reused': 0,
    'garbage': 0,
    'garbage_after': 0,
}


class Site:
    """A deployment whose upstreams record each request that they run."""

    def __init__(self, deployment, folder):
        self.deployment = deployment
        self.folder = folder
        self.runs = 0

    def add_upstream(self, vm_id, **options):
        return self.deployment.add_upstream(
            vm_id,
            'work',
            'z1',
            slots=64,
            service_ms=2,
            journal=self.folder / f'{vm_id}.journal',
            **options,
        )

    def add_gateway(self, vm_id):
        # A chooser that avoids failing upstreams would hide their failures.
        return self.deployment.add_gateway(
            vm_id,
            'z1',
            chooser='round-robin',
            stop_grace_ms=STOP_GRACE_MS,
        )

    @property
    def upstreams(self):
        return self.deployment.upstreams

    @property
    def gateways(self):
        return self.deployment.gateways

    def set_behaviour(self, upstreams=None, **fields):
        """Set the behaviour of upstreams, by default of all that run."""
        for upstream in upstreams or self.upstreams:
            if upstream.child.poll() is None:
                upstream.control(**fields)

    def remove(self, process):
        """Kill a process and remove it from the VM list."""
        process.kill()
        for members in (self.upstreams, self.gateways):
            if process in members:
                members.remove(process)
        self.deployment.list_vms()

    def start_caller(self, ports=None, **options):
        """Start a caller process with unique request ids.

        Waits for the end of the first request, because a failure injected
        before it would test nothing.
        """
        self.runs += 1
        defaults = {'connections': 8, 'requests': 400, 'method': 'POST'}
        caller = self.deployment.start_caller(
            ports,
            prefix=f'run{self.runs}',
            **{**defaults, **options},
        )
        wait_until(caller.has_begun, what='first request ended')
        return caller

    def exited(self):
        """Return the upstreams whose process has exited by itself."""
        return [
            upstream
            for upstream in self.upstreams
            if upstream.child.poll() is not None
        ]

    def restart_exited(self):
        """Restart the exited upstreams and wait until requests are answered."""
        for upstream in self.exited():
            upstream.restart()
        self.deployment.wait_ready()
        self.deployment.wait_answering('/work')

    def executions(self):
        """Count executions by request id, also those of exited upstreams."""
        counts = Counter()
        for journal in Path(self.folder).glob('*.journal'):
            for line in journal.read_text().splitlines():
                entry = json.loads(line)
                if entry['kind'] == 'run':
                    counts[entry['id']] += 1
        return counts

    def check_outcomes(self, caller, max_runs=1):
        """Check outcomes against executions; return the count of each outcome.

        A request that was ``answered`` has run, one that is ``not-run`` has
        not, and none has run more than ``max_runs`` times. ``cut`` means that
        the connection closed before the end of the response. For a response
        that belongs to another request the caller reports an outcome that
        fails the check.
        """
        outcomes = caller.result()['told']
        assert outcomes
        executions = self.executions()
        for request_id, outcome in outcomes.items():
            count = executions[request_id]
            assert outcome in {'answered', 'not-run', 'unknown', 'cut'}, outcome
            assert outcome != 'answered' or count >= 1, request_id
            assert outcome != 'not-run' or not count, request_id
            assert count <= max_runs, request_id
        return Counter(outcomes.values())


@pytest.fixture(scope='session')
def site(tmp_path_factory):
    folder = tmp_path_factory.mktemp('site')
    with Deployment(folder) as deployment:
        shared_site = Site(deployment, folder)
        deployment.platform.publish(ROUTES, POOLS)
        for number in range(3):
            shared_site.add_upstream(f'w{number}')
        for number in range(2):
            shared_site.add_gateway(f'g{number}')
        deployment.wait_ready()
        deployment.wait_answering('/work')
        yield shared_site


@pytest.fixture
def extra_gateway(site):
    """A gateway that the test may stop or kill."""
    gateway = site.add_gateway(f'x{site.runs}')
    site.deployment.wait_ready()
    site.deployment.wait_answering('/work')
    yield gateway
    site.remove(gateway)


@pytest.fixture
def extra_upstream(site):
    """An upstream that the test may stop or kill."""
    upstream = add_upstream_in_use(site)
    yield upstream
    site.remove(upstream)


@pytest.fixture(scope='session')
def shared_upstream(site):
    """Upstream behind ``faulty_upstream``.

    All tests share it, because waiting for a change of the VM list is slow.
    """
    return add_upstream_in_use(site)


@pytest.fixture
def faulty_upstream(site, shared_upstream):
    """An upstream whose behaviour the test may change; reset afterwards."""
    yield shared_upstream
    shared_upstream.send(signal.SIGCONT)
    site.set_behaviour([shared_upstream], **DEFAULT_BEHAVIOUR)


def add_upstream_in_use(site):
    """Start an upstream and wait until all gateways use it."""
    upstream = site.add_upstream(f'u{site.runs}')
    site.deployment.wait_ready()
    for gateway in site.gateways:
        wait_until(lambda: sends_to(gateway, upstream), what='listed')
    return upstream


def sends_to(gateway, upstream):
    """Return whether a gateway sends requests to an upstream."""
    before = upstream.counts()['executions']
    for _ in range(8):
        http(gateway.port, '/work', headers={'X-Request-Id': 'known'})
    return upstream.counts()['executions'] != before
