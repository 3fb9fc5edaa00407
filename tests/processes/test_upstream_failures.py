"""Upstreams that crash, hang, respond wrongly or shed, under load.

The tests guard against outcomes that do not match what the upstreams ran, and
against requests that run twice.
"""

import signal
import time

import pytest
from process_times import SETTLE_S

from figdoor_standins.processes import http, wait_until

pytestmark = pytest.mark.processes


class TestUpstreamEnds:
    def test_kill_under_load_runs_nothing_twice(self, site, extra_upstream):
        caller = site.start_caller(rate=400)
        time.sleep(SETTLE_S)
        extra_upstream.kill()
        counts = site.check_outcomes(caller)
        assert counts['answered'] > counts.total() / 2

    def test_dead_upstream_that_is_still_listed_fails_no_request(
        self,
        site,
        extra_upstream,
    ):
        """Guards against retries that are all spent on refused connections."""
        extra_upstream.kill()
        counts = site.check_outcomes(site.start_caller(rate=400, requests=800))
        assert counts['answered'] == counts.total()

    def test_outcomes_are_correct_after_a_suspended_upstream_resumes(
        self,
        site,
        faulty_upstream,
    ):
        caller = site.start_caller(rate=200)
        time.sleep(SETTLE_S)
        faulty_upstream.send(signal.SIGSTOP)
        time.sleep(1.5)
        faulty_upstream.send(signal.SIGCONT)
        counts = site.check_outcomes(caller)
        assert counts['answered'] > counts.total() / 2


class TestRetries:
    """Guards against reads that fail because one of the upstreams does."""

    def check_retried(self, site, caller):
        """Check that all were answered, some of them by a second run."""
        counts = site.check_outcomes(caller, max_runs=2)
        assert counts['answered'] == counts.total()
        executions = site.executions()
        assert 2 in {
            executions[request_id] for request_id in caller.result()['told']
        }

    def test_reads_are_answered_when_an_upstream_is_killed(
        self, site, extra_upstream
    ):
        # Slow enough for requests to be in progress at each upstream.
        site.set_behaviour(service_ms=300)
        try:
            caller = site.start_caller(
                method='GET',
                rate=80,
                requests=160,
                connections=32,
            )
            time.sleep(SETTLE_S)
            site.remove(extra_upstream)
            self.check_retried(site, caller)
        finally:
            site.set_behaviour(service_ms=2)

    def test_reads_are_answered_when_connections_are_reset_after_the_run(
        self, site, faulty_upstream
    ):
        caller = site.start_caller(method='GET', rate=200, requests=300)
        site.set_behaviour([faulty_upstream], reset=1)
        # Loses fewer requests than the retry budget of the route allows: a
        # burst of 10, and 20% of the requests.
        time.sleep(0.1)
        site.set_behaviour([faulty_upstream], reset=0)
        self.check_retried(site, caller)


class TestPoison:
    """Guards against requests that crash one upstream after another."""

    DEATHS = 2
    OBSERVATION_S = 3

    @pytest.fixture
    def crashing_upstreams(self, site):
        """Let one path crash upstreams; restart the crashed ones afterwards."""
        site.set_behaviour(die_on='poison')
        yield
        site.restart_exited()
        site.set_behaviour(die_on='')

    def test_poison_request_is_refused_by_all_gateways(
        self, site, crashing_upstreams
    ):
        """Guards against a caller that crashes all upstreams by its retries."""
        caller = site.start_caller(rate=200)
        # Both gateways must have answered other requests before.
        time.sleep(SETTLE_S)
        outcomes = [self.send(gateway) for gateway in site.gateways]
        assert outcomes == ['unknown'] * self.DEATHS
        # A process closes its connections before its exit can be waited for.
        wait_until(lambda: len(site.exited()) == self.DEATHS, what='exited')
        exited = site.exited()
        site.deployment.list_vms(without=exited)
        until_s = time.monotonic() + self.OBSERVATION_S
        site.check_outcomes(caller)
        other_callers = site.start_caller(rate=200)
        outcomes = set()
        while time.monotonic() < until_s:
            time.sleep(0.1)
            outcomes.update(map(self.send, site.gateways))
        assert outcomes == {'not-run'}
        assert site.exited() == exited
        assert len(exited) == site.executions()['poison'] == self.DEATHS
        counts = site.check_outcomes(other_callers)
        assert counts['answered'] == counts.total()

    def send(self, gateway):
        """Send the poison request and return the outcome in the response."""
        headers = {'X-Request-Id': 'poison'}
        response = http(gateway.port, '/work/poison', 'POST', b'', headers)
        return response[1]['figdoor-outcome']


class TestUpstreamLies:
    """Guards against wrong responses that look right to a caller."""

    @pytest.fixture
    def liar(self, site, faulty_upstream):
        """Return a function that runs callers while one upstream misbehaves.

        The fault begins before the load: the load lasts half a second, and a
        fault that began within it came too late on a busy machine.
        """

        def run(**fields):
            site.set_behaviour([faulty_upstream], **fields)
            return site.check_outcomes(
                site.start_caller(requests=200, rate=400)
            )

        return run

    def test_truncated_answers_are_cut_and_never_look_whole(self, liar):
        counts = liar(truncate=1, answer_bytes=2000)
        assert counts['cut']

    def test_reused_connections_that_are_reset_run_nothing_twice(self, liar):
        counts = liar(reset_reused=1)
        assert counts['unknown']

    def test_garbage_instead_of_a_response_is_unknown(self, liar):
        counts = liar(garbage=1)
        assert counts['unknown']
        assert not counts['cut']

    def test_garbage_after_a_response_affects_no_request(self, liar):
        counts = liar(garbage_after=1)
        assert not counts['cut'] + counts['unknown']

    def test_responses_after_the_deadline_reach_no_caller(self, site, liar):
        counts = liar(service_ms=1500)
        assert counts['unknown']
        assert not counts['cut']


class TestShedding:
    """Guards against shed requests that are counted as run."""

    def test_shed_requests_run_on_other_upstreams(self, site, faulty_upstream):
        site.set_behaviour([faulty_upstream], shed_all=1)
        counts = site.check_outcomes(site.start_caller(rate=400))
        assert counts['answered'] > counts.total() / 2
        assert not counts['unknown'] + counts['cut']

    def test_requests_shed_by_all_upstreams_are_not_run(self, site):
        site.set_behaviour(shed_all=1)
        try:
            counts = site.check_outcomes(site.start_caller(requests=100))
        finally:
            site.set_behaviour(shed_all=0)
        assert counts['not-run'] == counts.total()

    def test_requests_are_answered_again_when_shedding_ends(self, site):
        wait_until(
            lambda: http(site.gateways[0].port, '/work')[0] == 200,
            what='answered again',
        )
