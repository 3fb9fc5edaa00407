"""Real gateways and upstreams on loopback, shared by all tests here."""

import json
import signal
from collections import Counter
from pathlib import Path

import pytest

from figdoor_standins.deployment import Deployment
from figdoor_standins.processes import http, wait_until

# The deadline of /work bounds how long an upstream that stopped can hold a
# request; /slow is for transfers that take their time. Cold upstreams get their
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

GOOD = {
    'service_ms': 2,
    'answer_bytes': 0,
    'shed_all': 0,
    'truncate': 0,
    'reset_reused': 0,
    'garbage': 0,
    'garbage_after': 0,
}


class Site:
    """A deployment whose upstreams journal each request that they run."""

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
        # A chooser that avoids failing upstreams would hide the failures.
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

    def behave(self, upstreams=None, **fields):
        for upstream in upstreams or self.upstreams:
            if upstream.child.poll() is None:
                upstream.control(**fields)

    def remove(self, process):
        """End a process and forget it."""
        process.kill()
        for members in (self.upstreams, self.gateways):
            if process in members:
                members.remove(process)
        self.deployment.list_vms()

    def start(self, ports=None, **options):
        """Start callers whose request ids no other run uses.

        A failure that came before their first request would show nothing, so
        this waits for its end.
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

    def ended(self):
        """Return the upstreams that ended by themselves."""
        return [one for one in self.upstreams if one.child.poll() is not None]

    def revive(self):
        """Restart upstreams that ended, and wait for answers."""
        for upstream in self.ended():
            upstream.restart()
        self.deployment.wait_ready()
        self.deployment.wait_answering('/work')

    def executions(self):
        """Return how often each request id was run, ended upstreams too."""
        counts = Counter()
        for journal in Path(self.folder).glob('*.journal'):
            for line in journal.read_text().splitlines():
                entry = json.loads(line)
                if entry['kind'] == 'run':
                    counts[entry['id']] += 1
        return counts

    def judge(self, caller, most_runs=1):
        """Compare what callers were told with what ran; return the counts.

        Answered means that it ran, not run means that it did not, and no
        answer may belong to another request.
        """
        told = caller.result()['told']
        assert told
        executions = self.executions()
        for request_id, outcome in told.items():
            count = executions[request_id]
            assert outcome in {'answered', 'not-run', 'unknown', 'cut'}, outcome
            assert outcome != 'answered' or count >= 1, request_id
            assert outcome != 'not-run' or not count, request_id
            assert count <= most_runs, request_id
        return Counter(told.values())


@pytest.fixture(scope='session')
def site(tmp_path_factory):
    folder = tmp_path_factory.mktemp('site')
    with Deployment(folder) as deployment:
        made = Site(deployment, folder)
        deployment.platform.publish(ROUTES, POOLS)
        for number in range(3):
            made.add_upstream(f'w{number}')
        for number in range(2):
            made.add_gateway(f'g{number}')
        deployment.wait_ready()
        deployment.wait_answering('/work')
        yield made


@pytest.fixture
def extra_gateway(site):
    """A gateway that one test may end."""
    gateway = site.add_gateway(f'x{site.runs}')
    site.deployment.wait_ready()
    site.deployment.wait_answering('/work')
    yield gateway
    site.remove(gateway)


@pytest.fixture
def extra_upstream(site):
    """An upstream that one test may end."""
    upstream = add_known_upstream(site)
    yield upstream
    site.remove(upstream)


@pytest.fixture(scope='session')
def lasting_upstream(site):
    """The upstream behind ``spoilt``; waiting for the VM list takes long."""
    return add_known_upstream(site)


@pytest.fixture
def spoilt(site, lasting_upstream):
    """An upstream that a test may spoil; it behaves well afterwards."""
    yield lasting_upstream
    lasting_upstream.send(signal.SIGCONT)
    site.behave([lasting_upstream], **GOOD)


def add_known_upstream(site):
    """Start an upstream and wait until all gateways use it."""
    upstream = site.add_upstream(f'u{site.runs}')
    site.deployment.wait_ready()
    for gateway in site.gateways:
        wait_until(lambda: knows(gateway, upstream), what='listed')
    return upstream


def knows(gateway, upstream):
    """Tell whether a gateway sends requests to an upstream."""
    before = upstream.counts()['executions']
    for _ in range(8):
        http(gateway.port, '/work', headers={'X-Request-Id': 'known'})
    return upstream.counts()['executions'] != before
