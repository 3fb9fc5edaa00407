"""Pages that describe the code must not lag behind it."""

import re
import runpy
from pathlib import Path

import pytest

from figdoor_kernel import Outcome, Refusal

ROOT = Path(__file__).parents[2]
RULES = ROOT / 'examples' / 'prometheus' / 'figdoor.rules.yml'


def read(path):
    return (ROOT / path).read_text(encoding='utf-8')


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

    def test_alarms_use_only_metrics_that_exist(self):
        used = set(re.findall(r'figdoor_\w+', RULES.read_text('utf-8')))
        reference = read('docs/reference.md')
        for name in used:
            assert f'`{name.removesuffix("_bucket")}`' in reference


class TestOperating:
    @pytest.mark.parametrize('named', [*Outcome, *Refusal])
    def test_each_outcome_and_reason_has_advice(self, named):
        assert f'| `{named.value}` |' in read('docs/operating.md')
