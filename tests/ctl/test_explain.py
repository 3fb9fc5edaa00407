"""``figdoor-ctl explain`` shows a call and the state changes before it.

Guards against lines of other nodes and upstreams, and against log files that
hold text of other programs and truncated lines.
"""

import json
from io import StringIO

import pytest

from figdoor_ctl.cli import main
from figdoor_ctl.exits import ExitCode

LINES = [
    {'event': 'tables-accepted', 'node': 'n1', 'at_s': 1.0, 'revision': 7},
    {
        'event': 'upstream',
        'node': 'n1',
        'at_s': 2.0,
        'upstream': 'a',
        'state': 'gone',
    },
    {
        'event': 'upstream',
        'node': 'n1',
        'at_s': 2.0,
        'upstream': 'b',
        'state': 'live',
    },
    {
        'event': 'upstream',
        'node': 'n2',
        'at_s': 2.0,
        'upstream': 'a',
        'state': 'live',
    },
    {
        'event': 'call',
        'node': 'n1',
        'at_s': 3.0,
        'request': '9c41',
        'outcome': 'unknown',
        'attempts': [
            {'upstream': 'a', 'state': 'lost', 'connection_died': True}
        ],
    },
    {'event': 'call', 'node': 'n1', 'at_s': 3.0, 'request': '0000'},
]


@pytest.fixture
def log(tmp_path):
    path = tmp_path / 'n1.log'
    text = '\n'.join(json.dumps(line) for line in LINES)
    path.write_text(f'not json\n{{cut\n   3.1 n1 {text}\n')
    return path


def explain(*arguments):
    out = StringIO()
    code = main(['explain', *map(str, arguments)], out)
    return code, out.getvalue().splitlines()


class TestExplain:
    def test_call_follows_the_state_changes_on_its_node(self, log):
        code, printed = explain('9c41', log)
        assert code == ExitCode.OK
        assert [line.split()[2] for line in printed[:-1]] == [
            'tables-accepted',
            'upstream',
            'call',
        ]
        assert 'upstream=a state=gone' in printed[1]
        assert 'connection_died=True' in printed[-1]

    def test_unknown_request_id_is_reported(self, log):
        code, printed = explain('ffff', log)
        assert code == ExitCode.FINDINGS
        assert printed == ['no line is about request ffff']

    def test_missing_file_is_wrong_usage(self, tmp_path):
        code, _ = explain('9c41', tmp_path / 'none')
        assert code == ExitCode.USAGE

    def test_missing_log_argument_is_wrong_usage(self):
        assert explain('9c41')[0] == ExitCode.USAGE
