"""Distribution of tables among gateway processes, with restarts and pauses.

The time limits are the promised 3 s, plus one second to start a process and to
poll on a busy machine.
"""

import signal
import socket
import time

import pytest
from support import POOLS, ROUTES

from figdoor_standins.deployment import Deployment
from figdoor_standins.ports import HOST
from figdoor_standins.processes import http, wait_until

pytestmark = pytest.mark.processes
PROMISED_S = 3
START_S = 5
# Longer than the lease of 2 s.
PAUSE_S = 2.5
WITHOUT_Z1 = POOLS.replace('work, work,    z1 z2', 'work, work,    z2')


@pytest.fixture(scope='module')
def deployment(tmp_path_factory):
    with Deployment(tmp_path_factory.mktemp('logs')) as started:
        started.platform.publish(ROUTES, POOLS)
        started.add_upstream('w1', 'work', 'z1')
        for number in range(4):
            started.add_gateway(f'n{number}', f'z{number % 2 + 1}')
        started.wait_ready()
        yield started


def publish(deployment, pools=POOLS):
    """Publish tables, wait until all gateways use them; return the revision."""
    revision = deployment.platform.publish(ROUTES, pools)
    wait_until(
        lambda: all(
            gateway.in_force()['revision'] == revision
            for gateway in deployment.gateways
        ),
        PROMISED_S + 1,
        'revision in force everywhere',
    )
    return revision


def revision_of(gateway):
    """Return the revision in force, 0 while the gateway does not respond."""
    try:
        return gateway.in_force()['revision']
    except OSError:
        return 0


class TestConfiguration:
    """Guards against gateways that serve under old tables after a change."""

    def test_change_is_in_force_everywhere_within_the_promised_time(
        self,
        deployment,
    ):
        started_s = time.monotonic()
        publish(deployment, POOLS.replace('250', '251'))
        assert time.monotonic() - started_s <= PROMISED_S

    def test_restarted_gateway_gets_tables_while_the_platform_is_down(
        self,
        deployment,
    ):
        newest = publish(deployment)
        gateway = deployment.gateways[0]
        deployment.platform.set_down(True)
        try:
            gateway.restart()
            wait_until(gateway.is_ready, PROMISED_S + START_S, 'ready')
        finally:
            deployment.platform.set_down(False)
        in_force = gateway.in_force()
        assert in_force['revision'] == newest
        assert in_force['upstreams'], 'the VM list came from a peer too'

    def test_restarted_gateway_never_accepts_an_older_revision(
        self, deployment
    ):
        newest = publish(deployment)
        gateway = deployment.gateways[1]
        deployment.platform.publish(ROUTES, WITHOUT_Z1, revision=1)
        try:
            gateway.restart()
            revisions = set()
            limit_s = time.monotonic() + PROMISED_S + START_S
            while not revisions - {0} and time.monotonic() < limit_s:
                revisions.add(revision_of(gateway))
            wait_until(gateway.is_ready, PROMISED_S, 'ready')
            revisions.add(revision_of(gateway))
        finally:
            deployment.platform.publish(ROUTES, POOLS, revision=newest)
        assert revisions - {0} == {newest}

    def test_paused_gateway_sends_nothing_under_the_old_tables(
        self, deployment
    ):
        publish(deployment)
        upstream = deployment.upstreams[0]
        gateway = deployment.gateways[2]
        others = [peer for peer in deployment.gateways if peer is not gateway]
        wait_until(
            lambda: http(gateway.port, '/before')[0] == 200,
            PROMISED_S + START_S,
            'request answered',
        )
        gateway.send(signal.SIGSTOP)
        waiting = []
        try:
            paused_s = time.monotonic()
            newest = deployment.platform.publish(ROUTES, WITHOUT_Z1)
            wait_until(
                lambda: all(revision_of(other) == newest for other in others),
                PROMISED_S + 1,
            )
            deployment.platform.set_down(True)
            waiting = [
                self.send_request(gateway, number) for number in range(8)
            ]
            time.sleep(max(0, paused_s + PAUSE_S - time.monotonic()))
        finally:
            gateway.send(signal.SIGCONT)
        assert gateway.child.poll() is None, 'gateway exited'
        statuses = {caller.recv(64).split()[1] for caller in waiting}
        deployment.platform.set_down(False)
        wait_until(
            lambda: revision_of(gateway) == newest,
            PROMISED_S + 1,
            'revision in force after the pause',
        )
        assert statuses == {b'503'}
        executions = upstream.counts()['executions']
        assert not [name for name in executions if name.startswith('paused-')]

    def test_stopping_gateway_sends_stop_notice(self, deployment):
        """Guards against neighbours that still expect its acknowledgements."""
        stopping = deployment.gateways.pop()
        assert stopping.stop() == 0
        wait_until(
            lambda: any(map(self.received_stop_notice, deployment.gateways)),
            PROMISED_S,
            'stop notice received',
        )

    def received_stop_notice(self, gateway):
        text = http(gateway.operator_port, '/metrics')[2].decode()
        return 'direction="received",kind="Farewell"' in text

    def send_request(self, gateway, number):
        """Send a request that the paused process does not read yet."""
        caller = socket.create_connection((HOST, gateway.port), PROMISED_S * 4)
        caller.sendall(
            b'GET /paused HTTP/1.1\r\nhost: any.example\r\n'
            b'x-request-id: paused-%d\r\n\r\n' % number,
        )
        return caller
