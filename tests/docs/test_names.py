"""Guards against platform names in shared code and undocumented log events.

Only the platform adapter uses the names of the platform.
"""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
# Names of the platform's fields, headers and calls. Names that are plain words
# are left out, because they occur in other meanings too.
PLATFORM_NAMES = re.compile(
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
    def test_sources_are_collected(self):
        """Guards against a check of no files, as after a move of the folders."""
        assert len(SOURCES) > 100

    @pytest.mark.parametrize('path', SOURCES, ids=str)
    def test_source_uses_no_platform_names(self, path):
        """Guards against platform names in code outside the adapter."""
        match = PLATFORM_NAMES.search((ROOT / path).read_text(encoding='utf-8'))
        assert match is None, match

    def test_adapter_uses_platform_names(self):
        """Guards against an outdated pattern that matches no file at all."""
        text = ''.join(
            path.read_text(encoding='utf-8')
            for path in (ROOT / 'platform').rglob('*.py')
        )
        assert len(set(PLATFORM_NAMES.findall(text))) > 8


class TestOperationsPage:
    def test_each_decision_log_event_is_documented(self):
        """Guards against log events that the page does not explain."""
        folder = ROOT / 'packages/figdoor-gateway/src/figdoor_gateway'
        source = (folder / 'decision_log' / '_log.py').read_text()
        logged = re.findall(r"_write\(\s*'([a-z-]+)'", source)
        page = (ROOT / 'docs' / 'OPERATIONS.md').read_text()
        documented = set(re.findall(r'`([a-z-]+)`', page))
        assert logged
        assert set(logged) <= documented
