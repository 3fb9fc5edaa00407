"""Upstreams that die, stop, lie or shed, under load from two gateways."""

import signal
import time

import pytest

from figdoor_standins.processes import http, wait_until

pytestmark = pytest.mark.processes


class TestUpstreamEnds:
    def test_kill_under_load_runs_nothing_twice(self, site, extra_upstream):
        caller = site.start_load(rate=400)
        extra_upstream.kill()
        counts = site.judge(caller)
        assert counts['answered'] > counts.total() / 2

    def test_stopped_upstream_answers_nobody_when_it_wakes(
        self,
        site,
        spoilt,
    ):
        caller = site.start_load(rate=200)
        spoilt.send(signal.SIGSTOP)
        time.sleep(1.5)
        spoilt.send(signal.SIGCONT)
        counts = site.judge(caller)
        assert counts['answered'] > counts.total() / 2


class TestUpstreamLies:
    @pytest.fixture
    def liar(self, site, spoilt):
        """Return a function that runs callers while one upstream fails."""

        def run(**fields):
            caller = site.start_load(requests=200, rate=400)
            site.behave([spoilt], **fields)
            return site.judge(caller)

        return run

    def test_truncated_answers_are_cut_and_never_look_whole(self, liar):
        counts = liar(truncate=1, answer_bytes=2000)
        assert counts['cut']

    def test_reused_connections_that_are_reset_run_nothing_twice(self, liar):
        counts = liar(reset_reused=1)
        assert counts['unknown']

    def test_rubbish_instead_of_an_answer_is_unknown(self, liar):
        counts = liar(garbage=1)
        assert counts['unknown']
        assert not counts['cut']

    def test_rubbish_after_an_answer_does_no_harm(self, liar):
        counts = liar(garbage_after=1)
        assert not counts['cut'] + counts['unknown']

    def test_answers_after_the_deadline_reach_nobody(self, site, liar):
        counts = liar(service_ms=1500)
        assert counts['unknown']
        assert not counts['cut']


class TestShedding:
    def test_shed_requests_run_elsewhere(self, site, spoilt):
        site.behave([spoilt], shed_all=1)
        counts = site.judge(site.start(rate=400))
        assert counts['answered'] > counts.total() / 2
        assert not counts['unknown'] + counts['cut']

    def test_shed_everywhere_is_told_as_not_run(self, site):
        site.behave(shed_all=1)
        try:
            counts = site.judge(site.start(requests=100))
        finally:
            site.behave(shed_all=0)
        assert counts['not-run'] == counts.total()

    def test_service_returns_when_shedding_ends(self, site):
        wait_until(
            lambda: http(site.gateways[0].port, '/work')[0] == 200,
            what='answered again',
        )
