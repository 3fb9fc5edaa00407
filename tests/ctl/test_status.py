"""``figdoor-ctl status``: facts, differences and exit codes."""

import json
import subprocess
from io import StringIO

import pytest
from returns.result import Failure
from support import POOLS, ROUTES

from figdoor_ctl.commands._status import status
from figdoor_ctl.status import NodeStatus, read_facts
from figdoor_standins.deployment import Deployment
from figdoor_standins.processes import BIN

ONE, OTHER = '127.0.0.1:1', '127.0.0.1:2'


def answer(address, **changes):
    told = {
        'node': f'n-{address}',
        'availability_zone': 'z1',
        'state': 'ready',
        'not_ready_because': [],
        'revision': 3,
        'refused_revision': 0,
        'findings': [],
        'routes': [{'route': 'read', 'deadline_ms': 1000}],
        'pools': [{'pool': 'work', 'slots': 6}],
        'upstreams': [{}],
        **changes,
    }
    return NodeStatus(address, read_facts(json.dumps(told).encode()))


def run(*answers):
    out = StringIO()
    code = status([one.address for one in answers], out, lambda _: answers)
    return code, out.getvalue()


class TestStatus:
    def test_agreeing_ready_nodes_exit_with_0(self):
        code, text = run(answer(ONE), answer(OTHER))
        assert code == 0
        assert 'ready, revision 3, 1 routes, 1 pools, 1 upstreams' in text
        assert '2 nodes agree' in text

    @pytest.mark.parametrize(
        ('changes', 'line'),
        [
            ({'revision': 2}, f'revision: 3 on {ONE}; 2 on {OTHER}'),
            ({'state': 'unready'}, f'state: ready on {ONE}; unready on'),
            (
                {'findings': ['pools:3:slots: x'], 'refused_revision': 4},
                f'findings: none on {ONE}; pools:3:slots: x on {OTHER}',
            ),
            (
                {'routes': [{'route': 'read', 'deadline_ms': 9}]},
                f'routes, row read, deadline_ms: 1000 on {ONE}; 9 on',
            ),
            ({'pools': []}, f'pools, row work: present on {ONE}; none on'),
        ],
    )
    def test_each_disagreement_is_told_and_exits_with_1(self, changes, line):
        code, text = run(answer(ONE), answer(OTHER, **changes))
        assert code == 1
        assert f'difference in {line}' in text

    def test_nodes_that_agree_on_refusing_a_table_still_exit_with_1(self):
        refused = {'refused_revision': 4, 'findings': ['pools:3: x']}
        code, text = run(answer(ONE, **refused), answer(OTHER, **refused))
        assert code == 1
        assert 'refused revision 4' in text

    def test_node_that_cannot_be_read_exits_with_2_and_shows_the_others(self):
        broken = NodeStatus(OTHER, Failure('refused'))
        code, text = run(answer(ONE), broken)
        assert code == 2
        assert f'{OTHER}  cannot be read: refused' in text
        assert 'revision 3' in text

    @pytest.mark.parametrize('text', [b'[]', b'{}', b'x', b'{"node": 1}'])
    def test_answer_of_another_server_is_not_taken_for_a_node(self, text):
        assert 'not the answer' in read_facts(text).failure()

    @pytest.mark.parametrize('address', ['', 'host', 'host:x', 'a/b:1'])
    def test_malformed_address_is_wrong_usage(self, address):
        assert status([address], StringIO(), lambda _: []) == 2


@pytest.mark.processes
class TestStatusOfProcesses:
    def test_status_reads_running_nodes_and_notices_a_dead_one(self):
        with Deployment() as deployment:
            deployment.platform.publish(ROUTES, POOLS)
            # With one neighbour left of two, a node keeps its lease however
            # long the command takes to start. In a fleet of two the survivor
            # turns unready after the lease of 2 s, as it should.
            for number, zone in ((1, 'z1'), (2, 'z2'), (3, 'z2')):
                deployment.add_gateway(f'entry-{number}', zone)
            deployment.wait_ready()
            alive = self.status(deployment)
            deployment.gateways[0].kill()
            dead = self.status(deployment)
        assert (alive.returncode, dead.returncode) == (0, 2)
        assert '3 nodes agree' in alive.stdout
        assert 'cannot be read' in dead.stdout
        for number in (2, 3):
            told = f'entry-{number} in z2: ready, revision 1'
            assert told in dead.stdout

    def status(self, deployment):
        addresses = [
            f'127.0.0.1:{gateway.operator_port}'
            for gateway in deployment.gateways
        ]
        return subprocess.run(
            [BIN / 'figdoor-ctl', 'status', *addresses],
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )
