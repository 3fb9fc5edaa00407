"""Guards against pages and alarms that no longer match the code."""

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


def load_rules():
    (group,) = yaml.safe_load(RULES.read_text(encoding='utf-8'))['groups']
    return group['rules']


def documented_series():
    """Return the label names of each series that the reference page lists."""
    row_pattern = r'^\| `(figdoor_\w+)` \| (\w+) \| (.*?) \|'
    labels_of = {'up': set()}
    for name, kind, cell in re.findall(
        row_pattern, read('docs/reference.md'), re.M
    ):
        labels = set(re.findall(r'`(\w+)`', cell))
        if kind == 'histogram':
            labels_of[f'{name}_bucket'] = {*labels, 'le'}
        else:
            labels_of[name] = labels
    return {
        name: {*labels, 'job', 'instance'} for name, labels in labels_of.items()
    }


SERIES = documented_series()
LABEL_VALUES = {
    'job': {'figdoor'},
    'outcome': {outcome.value for outcome in Outcome},
    'reason': {refusal.value for refusal in Refusal},
    'vm_state': {state.value for state in VmState},
}


def result_labels(expression):
    """Return the labels of the result of an expression, ``None`` for a number.

    Fails if the expression uses a series, a label or a label value that does
    not exist, or matches two vectors on labels that only one of them has.
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
        grouping = set(
            expression.modifier.labels if expression.modifier else ()
        )
        assert grouping <= result_labels(expression.expr)
        return grouping
    assert kind == 'BinaryExpr', f'expression of unsupported type {kind}'
    left, right = map(result_labels, (expression.lhs, expression.rhs))
    if left is not None and right is not None:
        matching = expression.modifier and expression.modifier.matching
        ignored = set(matching.labels if matching else ())
        assert left - ignored == right - ignored
    return right if left is None else left


class TestReference:
    def test_page_equals_the_generated_page(self):
        tool = runpy.run_path(str(ROOT / 'tools' / 'reference.py'))
        hint = 'run "make reference" and commit docs/reference.md'
        assert tool['render_reference']() == read('docs/reference.md'), hint


class TestAlarms:
    def test_page_explains_exactly_the_alarms_that_exist(self):
        alarms = re.findall(r'alert: (\w+)', RULES.read_text(encoding='utf-8'))
        rows = re.findall(
            r'^\| `(Figdoor\w+)`', read('docs/operating.md'), re.M
        )
        assert alarms == rows

    @pytest.mark.parametrize('rule', load_rules(), ids=itemgetter('alert'))
    def test_rule_uses_only_series_and_labels_that_exist(self, rule):
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
    def test_mistake_in_an_expression_is_detected(self, expression):
        with pytest.raises((ValueError, AssertionError)):
            result_labels(promql_parser.parse(expression))


class TestOperatingGuide:
    @pytest.mark.parametrize('member', [*Outcome, *Refusal])
    def test_each_outcome_and_reason_has_advice(self, member):
        assert f'| `{member.value}` |' in read('docs/operating.md')
