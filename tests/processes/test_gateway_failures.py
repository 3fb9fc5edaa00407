"""Gateways that stop, crash or pause under load, and misbehaving callers."""

import signal
import socket
import time
from pathlib import Path

import pytest
from process_times import SETTLE_S
from raw_sockets import open_request, read_all

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


def is_complete(response):
    """Return whether a response is as long as its header fields say."""
    head, _, body = response.partition(b'\r\n\r\n')
    lines = dict(
        line.split(b': ', 1) for line in head.lower().split(b'\r\n')[1:]
    )
    return int(lines[b'content-length']) == len(body)


class TestThreads:
    """Guards against libraries that start threads of their own."""

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
        """Guards against a node that runs without one of its listeners."""
        with socket.create_server((HOST, 0)) as listener:
            gateway = GatewayProcess(
                'x',
                'z1',
                site.deployment.platform.port,
                site.folder / 'x.log',
                **{setting: f'{HOST}:{listener.getsockname()[1]}'},
            )
            assert gateway.child.wait(20) == 1
        assert 'listen on' in (site.folder / 'x.log').read_text()


class TestStop:
    """Guards against requests that a planned stop aborts."""

    def test_sigterm_aborts_no_request_in_progress(self, site, extra_gateway):
        site.set_behaviour(service_ms=300)
        try:
            caller = site.start_caller(
                [extra_gateway.port], requests=64, seconds=2
            )
            time.sleep(SETTLE_S)
            assert extra_gateway.stop() == 0
            counts = site.check_outcomes(caller)
        finally:
            site.set_behaviour(service_ms=2)
        assert counts['answered']
        assert not counts['cut'] + counts['unknown']

    def test_sigterm_lets_a_slow_caller_read_to_the_end(
        self,
        site,
        extra_gateway,
    ):
        site.set_behaviour(answer_bytes=LARGE_BYTES)
        try:
            request = b'GET /slow HTTP/1.1\r\nHost: a\r\n\r\n'
            with open_request(extra_gateway.port, request) as caller:
                first = caller.recv(1)
                extra_gateway.send(signal.SIGTERM)
                response = first + read_all(caller, 0.002)
        finally:
            site.set_behaviour(answer_bytes=0)
        assert is_complete(response)
        assert extra_gateway.child.wait(20) == 0

    def test_request_unread_when_the_listener_closes_is_answered(
        self,
        site,
        extra_gateway,
    ):
        """Guards against a stop that closes connections with unread requests.

        Such requests wait on connections that the listener has not accepted
        yet, or on kept connections.
        """
        head = b'GET /work HTTP/1.1\r\nHost: a\r\n'
        kept = open_request(extra_gateway.port, head + b'\r\n')
        assert kept.recv(12) == b'HTTP/1.1 200'
        extra_gateway.send(signal.SIGTERM)
        time.sleep(0.1)
        extra_gateway.send(signal.SIGSTOP)
        time.sleep(1)  # The grace ends during the pause.
        with kept, open_request(extra_gateway.port, head + b'\r\n') as new:
            kept.sendall(head + b'Connection: close\r\n\r\n')
            extra_gateway.send(signal.SIGCONT)
            assert read_all(kept).count(b'HTTP/1.1 200') == 1
            assert is_complete(read_all(new))
        assert extra_gateway.child.wait(20) == 0


class TestGatewayEnds:
    """Guards against requests that run twice when a gateway fails."""

    def test_kill_under_load_runs_nothing_twice(self, site, extra_gateway):
        caller = site.start_caller([extra_gateway.port], rate=400, seconds=2)
        time.sleep(SETTLE_S)
        extra_gateway.kill()
        counts = site.check_outcomes(caller)
        assert counts['answered']
        assert http(site.gateways[0].port, '/work')[0] == 200

    def test_gateway_paused_for_longer_than_its_lease_recovers(
        self,
        site,
        extra_gateway,
    ):
        caller = site.start_caller([extra_gateway.port], rate=200)
        time.sleep(SETTLE_S)
        extra_gateway.send(signal.SIGSTOP)
        time.sleep(2.5)
        extra_gateway.send(signal.SIGCONT)
        site.check_outcomes(caller)
        wait_until(extra_gateway.is_ready, what='ready after the pause')


class TestMisbehavingCallers:
    """Guards against callers that impair the service for others."""

    def test_hundreds_of_malformed_requests_affect_no_other_caller(self, site):
        port = site.gateways[0].port
        caller = site.start_caller([port], rate=200, requests=200)
        for number in range(300):
            data = MALFORMED[number % len(MALFORMED)]
            with open_request(port, data) as malformed:
                assert malformed.recv(12) == b'HTTP/1.1 400'
        counts = site.check_outcomes(caller)
        assert not counts['unknown'] + counts['cut']

    def test_gateway_serves_after_callers_disconnect(self, site):
        port = site.gateways[0].port
        request = b'GET /slow HTTP/1.1\r\nHost: a\r\n\r\n'
        for _ in range(100):
            open_request(port, request).close()
        counts = site.check_outcomes(site.start_caller([port], requests=100))
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
                sent = self.send_until_blocked(caller)
                buffered_bytes = gateway.resident_bytes - before_bytes
                for upstream in site.upstreams:
                    upstream.send(signal.SIGCONT)
                caller.settimeout(20)
                caller.sendall(b'b' * (LARGE_BYTES - sent))
                response = read_all(caller)
        finally:
            for upstream in site.upstreams:
                upstream.send(signal.SIGCONT)
        # The gateway buffers 64 KB of the body, apart from two socket buffers.
        assert buffered_bytes < LARGE_BYTES / 4
        assert response.startswith(b'HTTP/1.1 200')
        assert is_complete(response)

    def send_until_blocked(self, caller):
        """Send until the gateway has accepted nothing for 0.5 s."""
        sent = 0
        idle_since_s = time.monotonic()
        while sent < LARGE_BYTES and time.monotonic() - idle_since_s < 0.5:
            try:
                sent += caller.send(b'b' * min(65536, LARGE_BYTES - sent))
                idle_since_s = time.monotonic()
            except BlockingIOError:
                time.sleep(0.01)
        return sent
