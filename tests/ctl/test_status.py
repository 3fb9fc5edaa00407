"""``figdoor-ctl status``: state of nodes, differences and exit codes.

Guards against a check of a fleet that exits with 0 although a node is not
ready, has refused tables, disagrees with another one or cannot be read.
"""

import json
import subprocess
from io import StringIO

import pytest
from returns.result import Failure
from support import POOLS, ROUTES

from figdoor_ctl.commands._status import status
from figdoor_ctl.status import NodeStatus, parse_report
from figdoor_standins.deployment import Deployment
from figdoor_standins.processes import BIN

FIRST, SECOND = '127.0.0.1:1', '127.0.0.1:2'


def node_status(address, **changes):
    fields = {
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
    return NodeStatus(address, parse_report(json.dumps(fields).encode()))


def run(*statuses):
    out = StringIO()
    code = status([node.address for node in statuses], out, lambda _: statuses)
    return code, out.getvalue()


class TestStatus:
    def test_agreeing_ready_nodes_exit_with_0(self):
        code, text = run(node_status(FIRST), node_status(SECOND))
        assert code == 0
        assert 'ready, revision 3, 1 routes, 1 pools, 1 upstreams' in text
        assert '2 nodes agree' in text

    @pytest.mark.parametrize(
        ('changes', 'line'),
        [
            ({'revision': 2}, f'revision: 3 on {FIRST}; 2 on {SECOND}'),
            ({'state': 'unready'}, f'state: ready on {FIRST}; unready on'),
            (
                {'findings': ['pools:3:slots: x'], 'refused_revision': 4},
                f'findings: none on {FIRST}; pools:3:slots: x on {SECOND}',
            ),
            (
                {'routes': [{'route': 'read', 'deadline_ms': 9}]},
                f'routes, row read, deadline_ms: 1000 on {FIRST}; 9 on',
            ),
            (
                {'evacuated': ['z1', 'z2']},
                f'evacuated zones: none on {FIRST}; z1, z2 on {SECOND}',
            ),
            ({'pools': []}, f'pools, row work: present on {FIRST}; none on'),
        ],
    )
    def test_each_disagreement_is_printed_and_exits_with_1(self, changes, line):
        code, text = run(node_status(FIRST), node_status(SECOND, **changes))
        assert code == 1
        assert f'difference in {line}' in text

    def test_tables_refused_by_all_nodes_exit_with_1(self):
        refused = {'refused_revision': 4, 'findings': ['pools:3: x']}
        code, text = run(
            node_status(FIRST, **refused), node_status(SECOND, **refused)
        )
        assert code == 1
        assert 'refused revision 4' in text

    def test_unreadable_node_exits_with_2_and_others_are_shown(self):
        broken = NodeStatus(SECOND, Failure('refused'))
        code, text = run(node_status(FIRST), broken)
        assert code == 2
        assert f'{SECOND}  cannot be read: refused' in text
        assert 'revision 3' in text

    @pytest.mark.parametrize('text', [b'[]', b'{}', b'x', b'{"node": 1}'])
    def test_response_of_another_server_is_rejected(self, text):
        assert (
            'not a response of a figdoor node' in parse_report(text).failure()
        )

    @pytest.mark.parametrize('address', ['', 'host', 'host:x', 'a/b:1'])
    def test_malformed_address_is_wrong_usage(self, address):
        assert status([address], StringIO(), lambda _: []) == 2


@pytest.mark.processes
class TestStatusOfProcesses:
    def test_killed_node_is_unreadable_and_the_others_are_shown(self):
        with Deployment() as deployment:
            deployment.platform.publish(ROUTES, POOLS)
            # Three nodes: with one of two neighbours left, a node keeps its
            # lease however long the command takes to start. In a fleet of two
            # the remaining node turns unready after the lease of 2 s.
            for number, zone in ((1, 'z1'), (2, 'z2'), (3, 'z2')):
                deployment.add_gateway(f'entry-{number}', zone)
            deployment.wait_ready()
            before = self.status(deployment)
            deployment.gateways[0].kill()
            after = self.status(deployment)
        assert (before.returncode, after.returncode) == (0, 2)
        assert '3 nodes agree' in before.stdout
        assert 'cannot be read' in after.stdout
        for number in (2, 3):
            line = f'entry-{number} in z2: ready, revision 1'
            assert line in after.stdout

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
