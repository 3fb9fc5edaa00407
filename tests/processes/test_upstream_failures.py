"""Upstreams that die, stop, lie or shed, under load from two gateways."""

import signal
import time

import pytest
from process_times import SETTLE_S

from figdoor_standins.processes import http, wait_until

pytestmark = pytest.mark.processes


class TestUpstreamEnds:
    def test_kill_under_load_runs_nothing_twice(self, site, extra_upstream):
        caller = site.start(rate=400)
        time.sleep(SETTLE_S)
        extra_upstream.kill()
        counts = site.judge(caller)
        assert counts['answered'] > counts.total() / 2

    def test_dead_upstream_that_is_still_listed_costs_no_answer(
        self,
        site,
        extra_upstream,
    ):
        """Guards against retries that are all spent on refused connections."""
        extra_upstream.kill()
        counts = site.judge(site.start(rate=400, requests=800))
        assert counts['answered'] == counts.total()

    def test_stopped_upstream_answers_nobody_when_it_wakes(
        self,
        site,
        spoilt,
    ):
        caller = site.start(rate=200)
        time.sleep(SETTLE_S)
        spoilt.send(signal.SIGSTOP)
        time.sleep(1.5)
        spoilt.send(signal.SIGCONT)
        counts = site.judge(caller)
        assert counts['answered'] > counts.total() / 2


class TestRetries:
    """Idempotent requests are answered although an upstream fails."""

    def judge(self, site, caller):
        """Check that all were answered, some of them by a second run."""
        counts = site.judge(caller, most_runs=2)
        assert counts['answered'] == counts.total()
        executions = site.executions()
        assert 2 in {executions[one] for one in caller.result()['told']}

    def test_reads_survive_the_kill_of_an_upstream(self, site, extra_upstream):
        # So slow that some are in progress at each upstream.
        site.behave(service_ms=300)
        try:
            caller = site.start(
                method='GET',
                rate=80,
                requests=160,
                connections=32,
            )
            time.sleep(SETTLE_S)
            site.remove(extra_upstream)
            self.judge(site, caller)
        finally:
            site.behave(service_ms=2)

    def test_reads_survive_resets_after_they_ran(self, site, spoilt):
        caller = site.start(method='GET', rate=200, requests=300)
        site.behave([spoilt], reset=1)
        # Fewer losses than the retry budget allows: 10 and 20% of requests.
        time.sleep(0.1)
        site.behave([spoilt], reset=0)
        self.judge(site, caller)


class TestPoison:
    DEATHS = 2
    WATCHED_S = 3

    @pytest.fixture
    def mortal(self, site):
        """All upstreams die of one path; those that did come back."""
        site.behave(die_on='poison')
        yield
        site.revive()
        site.behave(die_on='')

    def test_request_that_kills_is_refused_by_all_gateways(self, site, mortal):
        """Guards against a fleet that dies of one request sent again."""
        caller = site.start(rate=200)
        # Both gateways must have answered the innocent requests before.
        time.sleep(SETTLE_S)
        told = [self.send(gateway) for gateway in site.gateways]
        assert told == ['unknown'] * self.DEATHS
        # A process closes its connections before it can be waited for.
        wait_until(lambda: len(site.ended()) == self.DEATHS, what='ended')
        ended = site.ended()
        site.deployment.list_vms(without=ended)
        until_s = time.monotonic() + self.WATCHED_S
        site.judge(caller)
        innocent = site.start(rate=200)
        told = set()
        while time.monotonic() < until_s:
            time.sleep(0.1)
            told.update(map(self.send, site.gateways))
        assert told == {'not-run'}
        assert site.ended() == ended
        assert len(ended) == site.executions()['poison'] == self.DEATHS
        counts = site.judge(innocent)
        assert counts['answered'] == counts.total()

    def send(self, gateway):
        """Send the request anew and return what its caller is told."""
        headers = {'X-Request-Id': 'poison'}
        answer = http(gateway.port, '/work/poison', 'POST', b'', headers)
        return answer[1]['figdoor-outcome']


class TestUpstreamLies:
    @pytest.fixture
    def liar(self, site, spoilt):
        """Return a function that runs callers while one upstream fails."""

        def run(**fields):
            caller = site.start(requests=200, rate=400)
            time.sleep(SETTLE_S)
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
