"""Replay of traces: stored traces, wrong statements, malformed lines."""

import json
from io import StringIO
from pathlib import Path

import pytest

from figdoor_ctl.cli import main
from figdoor_traces import read_trace, replay

TRACES = sorted((Path(__file__).parents[2] / 'traces').glob('*.jsonl'))


def lines_of(name):
    path = TRACES[0].parent / f'{name}.jsonl'
    return [
        json.loads(line)
        for line in path.read_text(encoding='utf-8').splitlines()
    ]


def text_of(lines):
    return ''.join(f'{json.dumps(line)}\n' for line in lines)


def replay_lines(lines):
    return replay(read_trace('t', text_of(lines)).unwrap())


def statements(path):
    """Return the trace, line index and name of each of its statements."""
    for index, line in enumerate(lines_of(path.stem)):
        for name in line.get('expect', ()):
            yield path.stem, index, name


class TestReplay:
    """Guards against changed decisions and against unreported mismatches."""

    @pytest.mark.parametrize('path', TRACES, ids=lambda path: path.stem)
    def test_every_statement_of_a_trace_holds(self, path):
        text = path.read_text(encoding='utf-8')
        result = replay(read_trace(path.name, text).unwrap())
        assert not result.errors
        assert not result.mismatches
        assert result.checked

    @pytest.mark.parametrize(
        ('name', 'index', 'key'),
        [case for path in TRACES for case in statements(path)],
    )
    def test_wrong_statement_is_reported_with_its_line(self, name, index, key):
        lines = lines_of(name)
        lines[index]['expect'][key] = 'wrong'
        places = [
            str(mismatch.place) for mismatch in replay_lines(lines).mismatches
        ]
        assert places == [f't:{index + 1}:{key}']

    def test_impossible_transition_of_an_attempt_is_reported(self):
        lines = lines_of('lost-non-idempotent')
        ends = [line for line in lines if line.get('do') == 'end']
        ends[0]['state'] = 'unsent-failure'
        assert 'cannot happen' in str(replay_lines(lines).mismatches[0])

    def test_unknown_chooser_is_reported_as_an_error(self):
        lines = lines_of('lost-non-idempotent')
        lines[0]['options']['chooser'] = 'none-such'
        assert "'none-such'" in str(replay_lines(lines).errors[0])

    def test_same_seed_chooses_the_same_upstreams_again(self):
        lines = lines_of('retry-budget-spent')
        for line in lines:
            if line.get('do') == 'next_step':
                line['expect'] = {'upstream': None}
        mismatches = {str(replay_lines(lines).mismatches) for _ in range(3)}
        assert len(mismatches) == 1


class TestReadTrace:
    """Guards against malformed traces that are replayed in part."""

    def test_all_malformed_lines_are_reported_together(self):
        lines = lines_of('lost-non-idempotent')
        lines[2]['do'] = 'dance'
        lines[3].pop('at_ms')
        lines[5]['at_ms'] = -1
        findings = read_trace('t', text_of(lines)).failure()
        places = {str(finding.place) for finding in findings}
        assert places >= {'t:3', 't:4', 't:6:at_ms'}

    def test_unknown_format_version_is_rejected(self):
        lines = lines_of('lost-non-idempotent')
        lines[0]['trace'] = 2
        assert 'format 2' in str(read_trace('t', text_of(lines)).failure()[0])

    def test_incomplete_last_line_is_ignored(self):
        text = text_of(lines_of('lost-non-idempotent'))
        trace = read_trace('t', text[:-5]).unwrap()
        assert len(trace.lines) == len(text.splitlines()) - 2


class TestReplayCommand:
    """Guards against exit codes that hide a mismatch or an unread trace."""

    def run(self, *lines, path):
        path.write_text(text_of(lines), encoding='utf-8')
        out = StringIO()
        return main(['replay', str(path)], out), out.getvalue()

    def test_exit_code_distinguishes_match_mismatch_and_unreadable(
        self, tmp_path
    ):
        path = tmp_path / 't.jsonl'
        lines = lines_of('lost-non-idempotent')
        code, text = self.run(*lines, path=path)
        assert code == 0
        assert '6 statements hold' in text
        lines[-1]['expect']['outcome'] = 'not-run'
        code, text = self.run(*lines, path=path)
        assert code == 1
        assert (
            f"{path}:{len(lines)}:outcome: stated 'not-run', found 'unknown'"
            in text
        )
        assert self.run({'trace': 1}, path=path)[0] == 2
        assert main(['replay', str(tmp_path)], StringIO()) == 2
