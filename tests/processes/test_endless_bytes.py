"""Servers that send bytes without end until the node closes the connection.

Guards against a node that keeps these bytes, runs out of memory and takes the
requests of all other callers with it.
"""

import socket
import threading
import time
from pathlib import Path

import pytest
from endless_server import EndlessServer
from raw_sockets import open_request
from test_store_deployment import Rig

from figdoor_standins.processes import http, wait_until
from figdoor_standins.store_content import (
    CONFIGURATION,
    PATH,
    SERVICE,
    worker_entry,
)

pytestmark = pytest.mark.processes

MEGABYTE = 1024 * 1024
# Buffers of some connections, several times over.
MAX_GROWTH_BYTES = 16 * MEGABYTE
# Of each call; the timeout of the route is longer.
DEADLINE_MS = 1500
# A response that is late by more than this is not ended by its deadline.
MAX_DELAY_S = 0.5 + DEADLINE_MS / 1000
STORE_READING_S = 5
HEALTH = (
    b'HTTP/1.1 200 OK\r\nInstance-Id: i-endless\r\nInstance-Load: 0,0,6,100\r\n'
    b'Content-Length: 0\r\n\r\n'
)
OK = b'HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: i-endless.1\r\n'
CHUNKED = OK + b'Transfer-Encoding: chunked\r\n\r\n'
BODIES = {
    'sized': (OK + b'Content-Length: 1000000000000\r\n\r\n', b'a'),
    'chunked': (CHUNKED, b'400\r\n' + b'a' * 1024 + b'\r\n'),
    'small chunks': (CHUNKED, b'1\r\na\r\n'),
    'until close': (OK + b'\r\n', b'a'),
}
HEADS = {
    'garbage': (b'', b'garbage'),
    'status line': (b'HTTP/1.1 200 ', b'a'),
    'header': (OK + b'X-A: ', b'a'),
    'headers': (OK, b'X-A: b\r\n'),
    'interim responses': (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n'),
    'chunk extension': (CHUNKED + b'2;ext=', b'a'),
    'trailer': (CHUNKED + b'0\r\nX-A: ', b'a'),
}


def request(request_id):
    return (
        b'GET /endless/x HTTP/1.1\r\nHost: any.example\r\n'
        b'Connection: close\r\nRequest-Id: %b\r\nDeadline-Ms: %d\r\n\r\n'
        % (request_id, DEADLINE_MS)
    )


def peak_bytes(process):
    status = Path(f'/proc/{process.child.pid}/status').read_text()
    return int(status.partition('VmHWM:')[2].split()[0]) * 1024


class EndlessCaller(threading.Thread):
    """Sends one request, and reads as fast as it can, slowly or not at all."""

    def __init__(self, port, request_id, pause_s):
        super().__init__(daemon=True)
        self._socket = open_request(port, request(request_id))
        self._pause_s = pause_s
        self.last_bytes = b''
        self.ended_after_s = None
        self._started_s = time.monotonic()
        self.start()

    def run(self):
        time.sleep(self._pause_s)
        try:
            while data := self._socket.recv(65536):
                self.last_bytes = (self.last_bytes + data)[-64:]
                time.sleep(self._pause_s / 100)
        except OSError:
            # The node resets the connection, so that the end is noticed.
            self.last_bytes += b'(reset)'
        self.ended_after_s = time.monotonic() - self._started_s
        self._socket.close()


class EndlessRig(Rig):
    """A node, a well-behaved worker and one that sends without end."""

    def __init__(self, folder):
        super().__init__(folder)
        self.server = EndlessServer(HEALTH)
        self.stack.callback(self.server.close)
        endless = {'Name': 'endless', 'Prefix': '/endless/'}
        paths = [PATH, {**PATH, **endless, 'Service': 'endless'}]
        hosts = [{'Host': 'any.example', 'Paths': paths}]
        services = [SERVICE, {**SERVICE, 'Name': 'endless'}]
        changes = {'Services': services, 'Hosts': hosts}
        self.put('op/config', {**CONFIGURATION, **changes})
        self.add_worker('i-1')
        entry = worker_entry(self.server.port, Service='endless')
        self.put('servers/i-endless', entry)
        self.process = self.add_node()
        self.wait_ready()
        self.port = self.nodes[0][1]
        wait_until(lambda: self.status('warm-up') == 200)

    def check(self, work):
        """Do this, and check the memory of the node and other requests."""
        before_bytes = peak_bytes(self.process)
        result = work()
        assert self.status('other') == 200
        assert self.process.child.poll() is None
        assert peak_bytes(self.process) - before_bytes <= MAX_GROWTH_BYTES
        return result


@pytest.fixture(scope='module')
def rig(tmp_path_factory):
    rig = EndlessRig(tmp_path_factory.mktemp('endless'))
    yield rig
    rig.stack.close()


class TestUpstream:
    def call(self, rig, pauses_s):
        callers = [
            EndlessCaller(rig.port, b'r%d' % number, pause_s)
            for number, pause_s in enumerate(pauses_s)
        ]
        time.sleep(DEADLINE_MS / 3000)
        assert rig.status('meanwhile') == 200
        for caller in callers:
            caller.join(20)
        return callers

    @pytest.mark.parametrize('name', BODIES)
    def test_body_ends_at_the_deadline_of_its_call(self, rig, name):
        """Guards against bytes kept for a caller that reads slowly or never."""
        rig.server.send(*BODIES[name])
        callers = rig.check(lambda: self.call(rig, (0, 1, 5)))
        reading, slow, silent = callers
        assert reading.ended_after_s <= MAX_DELAY_S
        assert slow.ended_after_s <= 1 + MAX_DELAY_S
        assert silent.ended_after_s <= 5 + MAX_DELAY_S
        for caller in callers:
            assert not caller.last_bytes.endswith(b'0\r\n\r\n')

    @pytest.mark.parametrize('name', HEADS)
    def test_head_or_trailer_ends_the_attempt(self, rig, name):
        rig.server.send(*HEADS[name])
        (caller,) = rig.check(lambda: self.call(rig, (0,)))
        assert caller.ended_after_s <= MAX_DELAY_S


class TestHealthCheck:
    @pytest.mark.parametrize(
        ('begin', 'part'),
        [
            (HEALTH.replace(b'Length: 0', b'Length: 1000000000000'), b'a'),
            (HEALTH.replace(b'\r\nContent-Length: 0', b''), b'a'),
            HEADS['header'],
            HEADS['interim responses'],
        ],
        ids=['sized', 'until close', 'header', 'interim responses'],
    )
    def test_check_without_end_fails(self, rig, begin, part):
        """Guards against checks that pile up what their upstream sends."""
        rig.server.health = b''
        rig.server.send(begin, part)
        caller = rig.check(lambda: EndlessCaller(rig.port, b'r1', 0))
        caller.join(20)
        rig.server.health = HEALTH
        assert caller.ended_after_s <= MAX_DELAY_S


class TestPeer:
    @pytest.mark.parametrize(
        'begin', [b'', b'\xff\xff\xff\xff', b'\x00\x00\x04\x00']
    )
    def test_request_without_end_is_cut(self, rig, begin):
        """Guards against a peer in trouble that fills the memory of others."""

        def send():
            address = ('127.0.0.1', rig.peer_ports[0])
            with socket.create_connection(address, timeout=20) as peer:
                peer.sendall(begin)
                with pytest.raises(OSError, match='reset|Broken pipe'):
                    while True:
                        peer.sendall(b'a' * 65536)

        rig.check(send)


class TestStore:
    @pytest.mark.parametrize(
        'name', ['until close', 'header', 'chunk extension', 'trailer']
    )
    def test_node_keeps_nothing_of_it(self, tmp_path, name):
        """Guards against a store in trouble that ends all nodes at once."""
        server = EndlessServer()
        server.send(*{**BODIES, **HEADS}[name])
        rig = Rig(tmp_path)
        process = rig.add_node(platform_url=f'http://127.0.0.1:{server.port}')
        _, _, operator_port = rig.nodes[0]
        wait_until(lambda: http(operator_port, '/healthz')[0] == 200)
        before_bytes = peak_bytes(process)
        time.sleep(STORE_READING_S)
        assert http(operator_port, '/healthz')[0] == 200
        assert peak_bytes(process) - before_bytes <= MAX_GROWTH_BYTES
        rig.stack.close()
        server.close()
