"""Limit on the heads of responses that treq reads."""

import pytest
from twisted.internet.defer import succeed
from twisted.internet.testing import StringTransport

from figdoor_gateway import agents
from figdoor_gateway.agents import MAX_HEAD_BYTES

HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n'
PART_BYTES = 4096


class Endpoint:
    """Opens connections without sockets."""

    def __init__(self):
        self.transport = StringTransport()

    def connect(self, factory):
        self.protocol = factory.buildProtocol(None)
        self.protocol.makeConnection(self.transport)
        return succeed(self.protocol)


class Rig:
    """A client, and the outcome of each request."""

    def __init__(self, monkeypatch):
        self.endpoint = Endpoint()
        monkeypatch.setattr(
            agents._AddressEndpoints,
            'endpointForURI',
            lambda *_: self.endpoint,
        )
        self.client = agents.make_client(1000, persistent=True)
        self.outcomes = []

    def get(self):
        reading = self.client.get('http://10.0.0.1/x', unbuffered=True)
        reading.addBoth(self.outcomes.append)

    def receive(self, data):
        self.endpoint.protocol.dataReceived(data)


@pytest.fixture
def rig(monkeypatch):
    return Rig(monkeypatch)


class TestHeadLimit:
    """Guards against a platform that sends a head until memory runs out."""

    @pytest.mark.parametrize(
        ('begin', 'line'),
        [
            (HEAD[:17], b'X-A: b\r\n'),
            (HEAD[:17] + b'X-A: b\r\n', b' folded\r\n'),
            (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n'),
        ],
        ids=['headers', 'folded header', 'interim responses'],
    )
    def test_head_without_end_closes_the_connection(self, rig, begin, line):
        rig.get()
        rig.receive(begin)
        received_bytes = 0
        while not rig.endpoint.transport.disconnecting:
            rig.receive(line * (PART_BYTES // len(line)))
            received_bytes += PART_BYTES
            assert received_bytes <= MAX_HEAD_BYTES + PART_BYTES

    def test_body_and_next_response_are_not_limited(self, rig):
        body = b'a' * (2 * MAX_HEAD_BYTES)
        for _ in range(3):
            rig.get()
            rig.receive(HEAD.replace(b'2', b'%d' % len(body)))
            response = rig.outcomes[-1]
            bodies = []
            response.content().addCallback(bodies.append)
            for start in range(0, len(body), PART_BYTES):
                rig.receive(body[start : start + PART_BYTES])
            assert bodies == [body]
        assert not rig.endpoint.transport.disconnecting
