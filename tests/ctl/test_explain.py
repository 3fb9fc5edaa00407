"""``figdoor-ctl explain``: from the id of a request to its cause."""

import json
from io import StringIO

import pytest

from figdoor_ctl.cli import main
from figdoor_ctl.exits import Exit

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
    def test_story_has_the_beliefs_of_its_node_in_order(self, log):
        code, told = explain('9c41', log)
        assert code == Exit.FINE
        assert [line.split()[2] for line in told[:-1]] == [
            'tables-accepted',
            'upstream',
            'call',
        ]
        assert 'upstream=a state=gone' in told[1]
        assert 'connection_died=True' in told[-1]

    def test_unknown_request_is_said_to_be_unknown(self, log):
        code, told = explain('ffff', log)
        assert code == Exit.FINDINGS
        assert told == ['no line is about request ffff']

    def test_missing_file_is_a_usage_error(self, tmp_path):
        code, _ = explain('9c41', tmp_path / 'none')
        assert code == Exit.USAGE

    def test_arguments_are_needed(self):
        assert explain('9c41')[0] == Exit.USAGE
