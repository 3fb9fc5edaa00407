"""The platform's names stay in the folder that translates them."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
# Names of the platform's fields, headers and calls that are no English words.
NAMES = re.compile(
    'WarmupLeft|WarmupPerS|MaxAttempts|TargetLatency|TrafficSplit|SeedNodes'
    '|HealthPath|MaxConnections|MorePages|AllowStale|WaitMs'
    '|kv-watch|kv-range|kv-key'
    '|[Ee]xpected-[Ii]nstance|[Nn]ot-[Ee]xecuted|[Ss]erver-[Ss]ignature'
    '|[Ii]nstance-[Ll]oad|[Ww]armup-[Mm]s',
)
SOURCES = sorted(
    path.relative_to(ROOT)
    for folder in ('packages', 'bench', 'tools')
    for path in (ROOT / folder).rglob('*.py')
)


class TestPlatformNames:
    def test_there_are_sources(self):
        assert len(SOURCES) > 100

    @pytest.mark.parametrize('path', SOURCES, ids=str)
    def test_source_does_not_know_them(self, path):
        """Guards against a second place that speaks the platform's names."""
        found = NAMES.search((ROOT / path).read_text(encoding='utf-8'))
        assert found is None, found

    def test_adapter_knows_them(self):
        """The search would find nothing if the names had changed."""
        text = ''.join(
            path.read_text(encoding='utf-8')
            for path in (ROOT / 'platform').rglob('*.py')
        )
        assert len(set(NAMES.findall(text))) > 8


class TestOperationsPage:
    def test_each_event_of_the_log_is_described(self):
        """Guards against a line in the log that nobody can read."""
        folder = ROOT / 'packages/figdoor-gateway/src/figdoor_gateway'
        source = (folder / 'decision_log' / '_log.py').read_text()
        written = re.findall(r"_write\(\s*'([a-z-]+)'", source)
        page = (ROOT / 'docs' / 'OPERATIONS.md').read_text()
        described = set(re.findall(r'`([a-z-]+)`', page))
        assert written
        assert set(written) <= described
