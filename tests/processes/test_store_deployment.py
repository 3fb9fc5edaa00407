"""Node processes of a store deployment, with workers listed in the store."""

import json
import sys
import time
from contextlib import ExitStack
from signal import SIGHUP, SIGTERM

import pytest
from raw_sockets import open_request, read_all

from figdoor_standins.ports import free_port
from figdoor_standins.processes import BIN, Process, http, wait_until
from figdoor_standins.store_content import worker_entry

pytestmark = pytest.mark.processes

SERVICE = {
    'Name': 'work',
    'HealthPath': '/healthz',
    'MaxConnections': 240,
    'Warmup': '3s',
    'WarmupPerS': 6.0,
}
LIMITS = {
    'MaxHeaderBytes': 16384,
    'MaxBodyBytes': 100_000,
    'HeaderTimeout': '3s',
    'IdleTimeout': '15s',
}


def configuration(kind='idempotent', **changes):
    path = {
        'Name': 'r',
        'Prefix': '/work/',
        'Type': kind,
        'Timeout': '2s',
        'TargetLatency': '500ms',
        'Priority': 0,
        'Service': 'work',
        'MaxAttempts': 3,
        **changes,
    }
    return {
        'Version': 1,
        'Services': [SERVICE],
        'Limits': LIMITS,
        'Hosts': [{'Host': 'any.example', 'Paths': [path]}],
    }


class Rig:
    """A store, workers and nodes that are started as processes."""

    def __init__(self, folder):
        self.folder = folder
        self.stack = ExitStack()
        self.store_port = free_port()
        self.workers = {}
        self.nodes = {}
        self.peer_ports = [free_port(), free_port()]
        self.sequence = 0
        self.kill_at_end(self.start_standin('store', self.store_port))
        wait_until(lambda: http(self.store_port, '/_calls')[0] == 200)

    def kill_at_end(self, process):
        self.stack.callback(process.kill)
        return process

    def start_standin(self, name, port, *flags):
        module = f'figdoor_standins.{name}'
        command = [sys.executable, '-m', module, f'--port={port}', *flags]
        return Process(command)

    def put(self, key, value):
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        http(self.store_port, f'/_put?key={key}', 'POST', body)

    def add_worker(self, name, state='ready', work_ms=5):
        if name not in self.workers:
            port = free_port()
            flags = (f'--worker_id={name}', f'--work_ms={work_ms}')
            self.kill_at_end(self.start_standin('store_worker', port, *flags))
            wait_until(lambda: http(port, '/_runs')[0] == 200)
            self.workers[name] = port
        self.sequence += 1
        entry = worker_entry(
            self.workers[name], State=state, Sequence=self.sequence
        )
        self.put(f'servers/{name}', entry)

    def set_mode(self, name, mode):
        http(self.workers[name], f'/_mode?mode={mode}', 'POST', b'')

    def runs(self):
        """Count the executions of each request on all workers."""
        total = {}
        for port in self.workers.values():
            for name, count in json.loads(http(port, '/_runs')[2]).items():
                total[name] = total.get(name, 0) + count
        return total

    def add_node(self, number=0, **flags):
        port, operator_port = free_port(), free_port()
        seeds = ','.join(
            f'127.0.0.1:{peer_port}' for peer_port in self.peer_ports
        )
        settings = {
            'node_id': f'n{number}',
            'availability_zone': 'z1',
            'listen': f'127.0.0.1:{port}',
            'operator_listen': f'127.0.0.1:{operator_port}',
            'peer_listen': f'127.0.0.1:{self.peer_ports[number]}',
            'seeds': seeds,
            'platform_url': f'http://127.0.0.1:{self.store_port}',
            'deployment': 'store',
            'dialect': 'platform',
            'chooser': 'expected-time',
            'log_format': 'json',
            'stop_grace_ms': 300,
            'stop_limit_ms': 3000,
            'kept_connection_ms': 300,
            'retry_failed_answers': 'yes',
            **flags,
        }
        path = self.folder / f'n{number}.flags'
        lines = [f'--{name}={value}' for name, value in settings.items()]
        path.write_text('\n'.join(lines))
        command = [str(BIN / 'figdoor'), f'--flagfile={path}']
        log = str(self.folder / f'n{number}.log')
        process = self.kill_at_end(Process(command, log_path=log))
        self.nodes[number] = (process, port, operator_port)
        return process

    def wait_ready(self):
        for _, _, operator_port in self.nodes.values():
            wait_until(lambda: http(operator_port, '/readyz')[0] == 200)

    def log(self, node):
        return (self.folder / f'n{node}.log').read_text()

    def send(self, request_id, node=0, method='GET'):
        """Send a request; return status, headers in lower case and body."""
        headers = {
            'Host': 'any.example',
            'Request-Id': request_id,
            'Deadline-Ms': '1500',
        }
        body = b'{}' if method == 'POST' else None
        _, port, _ = self.nodes[node]
        status, received, content = http(port, '/work/x', method, body, headers)
        lower = {name.lower(): value for name, value in received.items()}
        return status, lower, content

    def status(self, request_id, **options):
        return self.send(request_id, **options)[0]


@pytest.fixture
def rig(tmp_path):
    rig = Rig(tmp_path)
    rig.put('op/config', configuration())
    rig.add_worker('i-1')
    rig.add_worker('i-2')
    rig.add_node()
    rig.wait_ready()
    yield rig
    rig.stack.close()


class TestRequests:
    """Guards against requests that one worker makes fail or run twice."""

    def test_response_is_that_of_the_worker(self, rig):
        status, headers, body = rig.send('a1')
        assert (status, headers['request-id']) == (200, 'a1')
        assert headers['server-signature'].encode() == body + b'.1'

    def test_idempotent_request_is_answered_despite_a_failing_worker(self, rig):
        """Guards against errors that a retry on another worker would avoid."""
        rig.set_mode('i-1', 'failing')
        assert [rig.status(f'b{number}') for number in range(6)] == [200] * 6

    def test_requests_are_answered_when_one_worker_is_full(self, rig):
        rig.set_mode('i-1', 'full')
        assert {rig.status(f'c{number}') for number in range(6)} == {200}

    def test_non_idempotent_request_is_not_sent_again(self, rig):
        """Guards against a second execution after a lost response."""
        rig.put('op/config', configuration('non_idempotent'))
        time.sleep(1)
        rig.set_mode('i-1', 'mute')
        rig.set_mode('i-2', 'mute')
        assert rig.status('d1', method='POST') in {502, 504}
        assert rig.runs()['d1'] == 1


class TestStore:
    """Guards against changes in the store that a node misses."""

    def test_draining_worker_gets_no_new_requests(self, rig):
        rig.add_worker('i-1', state='draining')
        time.sleep(1)
        bodies = {rig.send(f'e{number}')[2] for number in range(8)}
        assert bodies == {b'i-2'}

    def test_removed_route_returns_404_until_it_is_restored(self, rig):
        rig.put('op/config', configuration(Prefix='/other/'))
        wait_until(lambda: rig.status('f1') == 404, 3)
        rig.put('op/config', configuration())
        wait_until(lambda: rig.status('f2') == 200, 3)

    def test_evacuated_zone_gets_no_requests(self, rig):
        rig.put('op/evacuate/z1', b'{}')
        wait_until(lambda: rig.status('g1') == 503, 3)

    def test_change_is_read_after_the_store_lost_its_history(self, rig):
        http(rig.store_port, '/_forget', 'POST', b'')
        rig.put('op/config', configuration(Prefix='/other/'))
        wait_until(lambda: rig.status('h1') == 404, 4)

    def test_quick_changes_of_a_large_configuration_are_followed(self, rig):
        """Guards against nodes that follow nothing until history is lost.

        The versions together exceed what a node accepts as a response.
        """
        rig.add_node(1)
        rig.wait_ready()
        fields = configuration()
        paths = fields['Hosts'][0]['Paths']
        paths.extend(
            {**paths[0], 'Name': f'r-{number}', 'Prefix': f'/more{number}/'}
            for number in range(3600)
        )
        for version in range(2, 20):
            rig.put('op/config', {**fields, 'Version': version})
        paths[0]['Prefix'] = '/other/'
        rig.put('op/config', {**fields, 'Version': 20})
        rig.add_worker('i-1', state='draining')
        until_s = time.monotonic() + 2.5
        for node in (0, 1):
            wait_until(
                lambda: rig.status('k1', node=node) == 404,
                until_s - time.monotonic(),
            )
        paths[0]['Prefix'] = '/work/'
        rig.put('op/config', {**fields, 'Version': 21})
        wait_until(lambda: rig.status('k2') == 200, 2.5)
        bodies = {rig.send(f'k3{number}')[2] for number in range(8)}
        assert bodies == {b'i-2'}

    @pytest.mark.parametrize('status', [503, 429, 0])
    def test_node_serves_while_the_store_is_unavailable(self, rig, status):
        """Guards against requests that fail because the store is down."""
        http(rig.store_port, f'/_mode?status={status}', 'POST', b'')
        time.sleep(2.5)
        assert rig.status('i1') == 200
        http(rig.store_port, '/_mode?status=200', 'POST', b'')
        rig.put('op/config', configuration(Prefix='/other/'))
        wait_until(lambda: rig.status('i2') == 404, 6)

    def test_two_nodes_apply_the_same_change(self, rig):
        rig.add_node(1)
        rig.wait_ready()
        rig.put('op/config', configuration(Prefix='/other/'))
        for node in (0, 1):
            wait_until(lambda: rig.status('j1', node=node) == 404, 3)


class TestRestoredStore:
    """Guards against nodes that keep what the store has lost for good.

    The store gives the lost revisions out again, for other changes.
    """

    def test_change_after_the_return_is_in_force(self, rig):
        rig.add_node(1)
        rig.wait_ready()
        http(rig.store_port, '/_copy', 'POST', b'')
        moved = configuration(Prefix='/other/')
        rig.put('op/config', {**moved, 'Version': 2})
        for node in (0, 1):
            wait_until(lambda: rig.status('n1', node=node) == 404, 3)
        http(rig.store_port, '/_restore', 'POST', b'')
        for node in (0, 1):
            wait_until(lambda: 'store-restored' in rig.log(node), 3)
            # The lower version of the copy does not come into force again.
            assert rig.status('n2', node=node) == 404
        rig.put('op/config', {**configuration(), 'Version': 3})
        for node in (0, 1):
            wait_until(lambda: rig.status('n3', node=node) == 200, 3)


class TestPoisonRequest:
    """Guards against a request that each new node lets crash upstreams."""

    def test_node_that_starts_refuses_what_the_others_refuse(self, tmp_path):
        rig = Rig(tmp_path)
        with rig.stack:
            rig.put('op/config', configuration('non_idempotent'))
            for name in ('i-1', 'i-2', 'i-3'):
                rig.add_worker(name)
                rig.set_mode(name, 'crashing')
            rig.add_node(quarantine_deaths=2)
            rig.wait_ready()
            refused = '"refusal": "quarantined"'
            wait_until(
                lambda: (
                    rig.status('o1', method='POST') == 503
                    and refused in rig.log(0)
                ),
                10,
            )
            rig.add_node(1, quarantine_deaths=2)
            rig.wait_ready()
            wait_until(lambda: '"suspects": 1' in rig.log(1), 3)
            assert rig.status('o2', node=1, method='POST') == 503
            # Lines reach the log a moment after the response.
            wait_until(lambda: refused in rig.log(1), 3)
            assert 'o2' not in rig.runs()


class TestSignals:
    """Guards against signals that end or abort more than they should."""

    def test_node_serves_after_a_settings_reload(self, rig):
        process, _, _ = rig.nodes[0]
        process.send(SIGHUP)
        time.sleep(0.3)
        assert rig.status('k1') == 200

    def test_stop_is_graceful_and_logged(self, rig):
        process, _, operator_port = rig.nodes[0]
        process.send(SIGTERM)
        wait_until(lambda: http(operator_port, '/readyz')[0] == 503, 2)
        assert process.child.wait(10) == 0
        log = (rig.folder / 'n0.log').read_text()
        assert '"event": "stop"' in log

    def test_late_request_in_a_stop_is_refused_and_not_cut(self, tmp_path):
        """Guards against a request that is sent to a worker and then aborted.

        Its connection opens in the grace period, and it arrives after that.
        """
        rig = Rig(tmp_path)
        with rig.stack:
            rig.put('op/config', configuration('non_idempotent', Timeout='8s'))
            rig.add_worker('i-1', work_ms=2500)
            process = rig.add_node()
            rig.wait_ready()
            process.send(SIGTERM)
            with open_request(rig.nodes[0][1], b'') as caller:
                time.sleep(0.7)
                caller.sendall(
                    b'POST /work/x HTTP/1.1\r\nHost: any.example\r\n'
                    b'Request-Id: late\r\nDeadline-Ms: 8000\r\n'
                    b'Content-Length: 2\r\n\r\n{}'
                )
                response = read_all(caller)
            assert response.startswith(b'HTTP/1.1 503 ')
            assert b'retry-after' in response.lower()
            assert 'late' not in rig.runs()
            assert process.child.wait(10) == 0


class TestDepartedCallers:
    """Guards against work for callers that have closed their connection."""

    @pytest.mark.parametrize('count', [1, 12])
    def test_pipelined_requests_of_a_departed_caller_end(self, tmp_path, count):
        """Guards against a close that is not seen while reading is paused.

        A node stops reading while eight requests wait behind the one in
        progress.
        """
        rig = Rig(tmp_path)
        with rig.stack:
            rig.put('op/config', configuration(Timeout='8s'))
            rig.add_worker('i-1', work_ms=3000)
            rig.add_node()
            rig.wait_ready()
            _, port, operator_port = rig.nodes[0]
            data = b''.join(
                b'GET /work/x HTTP/1.1\r\nHost: any.example\r\n'
                b'Request-Id: p%d\r\nDeadline-Ms: 8000\r\n\r\n' % number
                for number in range(count)
            )
            with open_request(port, data):
                wait_until(lambda: 'p0' in rig.runs(), 5)
            lost = b'figdoor_attempts_total{state="lost"} 1.0'
            wait_until(lambda: lost in http(operator_port, '/metrics')[2], 1.5)
            time.sleep(3)
            assert set(rig.runs()) == {'p0'}


class TestLog:
    """Guards against requests that the decision log does not identify."""

    def test_request_is_logged_under_its_id(self, rig):
        rig.send('m1')
        path = rig.folder / 'n0.log'
        wait_until(lambda: '"request": "m1"' in path.read_text(), 3)
