"""Pages that describe the code must not lag behind it."""

import re
import runpy
from operator import itemgetter
from pathlib import Path

import promql_parser
import pytest
import yaml

from figdoor_kernel import Outcome, Refusal, VmState

ROOT = Path(__file__).parents[2]
RULES = ROOT / 'examples' / 'prometheus' / 'figdoor.rules.yml'


def read(path):
    return (ROOT / path).read_text(encoding='utf-8')


def rules():
    (group,) = yaml.safe_load(RULES.read_text(encoding='utf-8'))['groups']
    return group['rules']


def series():
    """Return the label names of each series that Prometheus gets."""
    row = r'^\| `(figdoor_\w+)` \| (\w+) \| (.*?) \|'
    found = {'up': set()}
    for name, kind, cell in re.findall(row, read('docs/reference.md'), re.M):
        labels = set(re.findall(r'`(\w+)`', cell))
        if kind == 'histogram':
            found[f'{name}_bucket'] = {*labels, 'le'}
        else:
            found[name] = labels
    return {
        name: {*labels, 'job', 'instance'} for name, labels in found.items()
    }


SERIES = series()
LABEL_VALUES = {
    'job': {'figdoor'},
    'outcome': {one.value for one in Outcome},
    'reason': {one.value for one in Refusal},
    'vm_state': {one.value for one in VmState},
}


def result_labels(expression):
    """Return the labels of what an expression gives, ``None`` for a number.

    Fails where it names a series, a label or a value that does not exist, or
    joins two vectors by labels that only one of them has.
    """
    kind = type(expression).__name__
    if kind == 'NumberLiteral':
        return None
    if kind == 'MatrixSelector':
        return result_labels(expression.vector_selector)
    if kind == 'VectorSelector':
        assert expression.name in SERIES
        for matcher in expression.matchers.matchers:
            assert matcher.name in SERIES[expression.name]
            assert matcher.value in LABEL_VALUES[matcher.name]
        return SERIES[expression.name]
    if kind == 'Call':
        labels = result_labels(expression.args[-1])
        if expression.func.name == 'histogram_quantile':
            assert 'le' in labels
            return labels - {'le'}
        return labels
    if kind == 'AggregateExpr':
        kept = set(expression.modifier.labels if expression.modifier else ())
        assert kept <= result_labels(expression.expr)
        return kept
    assert kind == 'BinaryExpr', f'{kind} is not known here'
    left, right = map(result_labels, (expression.lhs, expression.rhs))
    if left is not None and right is not None:
        matching = expression.modifier and expression.modifier.matching
        ignored = set(matching.labels if matching else ())
        assert left - ignored == right - ignored
    return right if left is None else left


class TestReference:
    def test_page_is_what_the_code_says(self):
        tool = runpy.run_path(str(ROOT / 'tools' / 'reference.py'))
        hint = 'run "make reference" and commit docs/reference.md'
        assert tool['render_reference']() == read('docs/reference.md'), hint


class TestAlarms:
    def test_each_alarm_is_explained_and_each_explained_one_exists(self):
        alarms = re.findall(r'alert: (\w+)', RULES.read_text(encoding='utf-8'))
        rows = re.findall(
            r'^\| `(Figdoor\w+)`', read('docs/operating.md'), re.M
        )
        assert alarms == rows

    @pytest.mark.parametrize('rule', rules(), ids=itemgetter('alert'))
    def test_expression_and_its_texts_use_what_exists(self, rule):
        labels = result_labels(promql_parser.parse(rule['expr']))
        texts = ' '.join(rule['annotations'].values())
        assert set(re.findall(r'\$labels\.(\w+)', texts)) <= labels

    @pytest.mark.parametrize(
        'expression',
        [
            'figdoor_ready == ',
            'figdoor_unready == 0',
            'figdoor_ready{route="a"} == 0',
            'figdoor_upstreams{vm_state="dead"} > 0',
            'sum by (le) (figdoor_ready)',
            'histogram_quantile(0.5, figdoor_ready)',
            'figdoor_ready / sum by (job) (figdoor_ready)',
        ],
    )
    def test_mistake_in_an_expression_is_found(self, expression):
        with pytest.raises((ValueError, AssertionError)):
            result_labels(promql_parser.parse(expression))


class TestOperating:
    @pytest.mark.parametrize('named', [*Outcome, *Refusal])
    def test_each_outcome_and_reason_has_advice(self, named):
        assert f'| `{named.value}` |' in read('docs/operating.md')
