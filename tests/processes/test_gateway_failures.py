"""Gateways that stop, die or pause under load, and difficult callers."""

import signal
import socket
import time
from pathlib import Path

import pytest
from process_times import SETTLE_S

from figdoor_standins.ports import HOST
from figdoor_standins.processes import GatewayProcess, http, wait_until

pytestmark = pytest.mark.processes

LARGE_BYTES = 8_000_000
MALFORMED = (
    b'\0\0\0\0\r\n\r\n',
    b'GET http://other/ HTTP/1.1\r\nHost: a\r\n\r\n',
    b'POST /work HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
    b'GET /work HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n',
)


def open_request(port, data):
    """Return a connection on which these bytes were sent."""
    caller = socket.create_connection((HOST, port), timeout=20)
    caller.sendall(data)
    return caller


def read_all(caller, pause_s=0, step=65536):
    """Read until the other side closes."""
    parts = []
    while part := caller.recv(step):
        parts.append(part)
        time.sleep(pause_s)
    return b''.join(parts)


def is_whole(answer):
    """Tell whether an answer has as many bytes as its head says."""
    head, _, body = answer.partition(b'\r\n\r\n')
    lines = dict(
        line.split(b': ', 1) for line in head.lower().split(b'\r\n')[1:]
    )
    return int(lines[b'content-length']) == len(body)


class TestThreads:
    def test_gateway_that_reads_the_platform_has_one_thread(self, site):
        for gateway in site.gateways:
            tasks = Path(f'/proc/{gateway.child.pid}/task')
            assert len(list(tasks.iterdir())) == 1


class TestStart:
    @pytest.mark.parametrize(
        'setting',
        ['listen', 'operator_listen', 'peer_listen'],
    )
    def test_port_in_use_ends_the_process(self, site, setting):
        """Guards against a node that goes on without one of its listeners."""
        with socket.create_server((HOST, 0)) as taken:
            gateway = GatewayProcess(
                'x',
                'z1',
                site.deployment.platform.port,
                site.folder / 'x.log',
                **{setting: f'{HOST}:{taken.getsockname()[1]}'},
            )
            assert gateway.child.wait(20) == 1
        assert 'listen on' in (site.folder / 'x.log').read_text()


class TestStop:
    def test_sigterm_cuts_no_request_in_progress(self, site, extra_gateway):
        site.behave(service_ms=300)
        try:
            caller = site.start([extra_gateway.port], requests=64, seconds=2)
            time.sleep(SETTLE_S)
            assert extra_gateway.stop() == 0
            counts = site.judge(caller)
        finally:
            site.behave(service_ms=2)
        assert counts['answered']
        assert not counts['cut'] + counts['unknown']

    def test_sigterm_lets_a_slow_caller_read_to_the_end(
        self,
        site,
        extra_gateway,
    ):
        site.behave(answer_bytes=LARGE_BYTES)
        try:
            request = b'GET /slow HTTP/1.1\r\nHost: a\r\n\r\n'
            with open_request(extra_gateway.port, request) as caller:
                first = caller.recv(1)
                extra_gateway.send(signal.SIGTERM)
                answer = first + read_all(caller, 0.002)
        finally:
            site.behave(answer_bytes=0)
        assert is_whole(answer)
        assert extra_gateway.child.wait(20) == 0

    def test_request_that_waits_unread_at_the_close_is_answered(
        self,
        site,
        extra_gateway,
    ):
        # The listener closed with connections that it had not accepted, and
        # kept connections closed with requests that had not been read.
        head = b'GET /work HTTP/1.1\r\nHost: a\r\n'
        kept = open_request(extra_gateway.port, head + b'\r\n')
        assert kept.recv(12) == b'HTTP/1.1 200'
        extra_gateway.send(signal.SIGTERM)
        time.sleep(0.1)
        extra_gateway.send(signal.SIGSTOP)
        time.sleep(1)  # The grace ends during the pause.
        with kept, open_request(extra_gateway.port, head + b'\r\n') as fresh:
            kept.sendall(head + b'Connection: close\r\n\r\n')
            extra_gateway.send(signal.SIGCONT)
            assert read_all(kept).count(b'HTTP/1.1 200') == 1
            assert is_whole(read_all(fresh))
        assert extra_gateway.child.wait(20) == 0


class TestGatewayEnds:
    def test_kill_under_load_runs_nothing_twice(self, site, extra_gateway):
        caller = site.start([extra_gateway.port], rate=400, seconds=2)
        time.sleep(SETTLE_S)
        extra_gateway.kill()
        counts = site.judge(caller)
        assert counts['answered']
        assert http(site.gateways[0].port, '/work')[0] == 200

    def test_gateway_that_was_paused_past_its_lease_recovers(
        self,
        site,
        extra_gateway,
    ):
        caller = site.start([extra_gateway.port], rate=200)
        time.sleep(SETTLE_S)
        extra_gateway.send(signal.SIGSTOP)
        time.sleep(2.5)
        extra_gateway.send(signal.SIGCONT)
        site.judge(caller)
        wait_until(extra_gateway.is_ready, what='ready after the pause')


class TestDifficultCallers:
    def test_malformed_requests_by_the_hundred_harm_nobody(self, site):
        port = site.gateways[0].port
        caller = site.start([port], rate=200, requests=200)
        for number in range(300):
            data = MALFORMED[number % len(MALFORMED)]
            with open_request(port, data) as malformed:
                assert malformed.recv(12) == b'HTTP/1.1 400'
        counts = site.judge(caller)
        assert not counts['unknown'] + counts['cut']

    def test_callers_that_go_away_leave_the_gateway_serving(self, site):
        port = site.gateways[0].port
        request = b'GET /slow HTTP/1.1\r\nHost: a\r\n\r\n'
        for _ in range(100):
            open_request(port, request).close()
        counts = site.judge(site.start([port], requests=100))
        assert not counts['unknown'] + counts['cut']

    def test_large_upload_to_a_slow_upstream_is_not_held_in_memory(self, site):
        gateway = site.gateways[0]
        before_bytes = gateway.resident_bytes
        head = (
            b'POST /slow HTTP/1.1\r\nHost: a\r\nConnection: close\r\n'
            b'Content-Length: %d\r\n\r\n' % LARGE_BYTES
        )
        for upstream in site.upstreams:
            upstream.send(signal.SIGSTOP)
        try:
            with open_request(gateway.port, head) as caller:
                caller.setblocking(False)
                sent = self.send_what_fits(caller)
                held_bytes = gateway.resident_bytes - before_bytes
                for upstream in site.upstreams:
                    upstream.send(signal.SIGCONT)
                caller.settimeout(20)
                caller.sendall(b'b' * (LARGE_BYTES - sent))
                answer = read_all(caller)
        finally:
            for upstream in site.upstreams:
                upstream.send(signal.SIGCONT)
        # The gateway holds 64 KB of the body and the buffers of two sockets.
        assert held_bytes < LARGE_BYTES / 4
        assert answer.startswith(b'HTTP/1.1 200')
        assert is_whole(answer)

    def send_what_fits(self, caller):
        """Send until nothing more is taken for a while."""
        sent = 0
        idle_since_s = time.monotonic()
        while sent < LARGE_BYTES and time.monotonic() - idle_since_s < 0.5:
            try:
                sent += caller.send(b'b' * min(65536, LARGE_BYTES - sent))
                idle_since_s = time.monotonic()
            except BlockingIOError:
                time.sleep(0.01)
        return sent
