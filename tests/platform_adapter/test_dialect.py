"""Headers and statuses: what is a worker's answer and what is promised."""

import pytest

from figdoor_gateway.protocols import ResponseKind
from figdoor_kernel import Finish, Outcome, Refusal, Upstream, VmState
from figdoor_platform import PlatformDialect

REQUEST = [(b'request-id', b'9c41'), (b'deadline-ms', b'800')]
SIGNED = {b'request-id': b'9c41', b'server-signature': b'3e1b'}


def kind(status, headers):
    return PlatformDialect().classify_response(status, headers, REQUEST).kind


class TestAnswers:
    def test_signed_answer_is_passed_on(self):
        assert kind(200, SIGNED) is ResponseKind.VALID
        assert kind(500, SIGNED) is ResponseKind.VALID

    @pytest.mark.parametrize('status', [503, 429, 400])
    def test_mark_says_that_the_request_was_not_run(self, status):
        headers = {**SIGNED, b'not-executed': b'1'}
        assert kind(status, headers) is ResponseKind.SHED

    def test_other_instance_has_not_run_it(self):
        assert kind(421, {b'instance-id': b'i-2'}) is ResponseKind.SHED

    @pytest.mark.parametrize('status', [503, 429, 408])
    def test_promise_without_the_mark_is_not_passed_on(self, status):
        """Guards against telling a caller that a run request was not run."""
        assert kind(status, SIGNED) is ResponseKind.INVALID

    def test_success_without_signature_is_no_answer(self):
        assert kind(200, {b'request-id': b'9c41'}) is ResponseKind.INVALID

    def test_coded_body_is_not_the_worker_s(self):
        headers = {**SIGNED, b'content-encoding': b'gzip'}
        assert kind(200, headers) is ResponseKind.INVALID

    def test_answer_to_another_request_is_stray(self):
        """Guards against a late answer that reaches the next caller."""
        headers = {**SIGNED, b'request-id': b'0000'}
        assert kind(200, headers) is ResponseKind.STRAY


class TestOwnAnswers:
    def own(self, outcome, refusal=None, late=False):
        finish = Finish(outcome, refusal, 250)
        return PlatformDialect().local_response(finish, late, REQUEST)

    def test_not_run_tells_when_to_come_back(self):
        answer = self.own(Outcome.NOT_RUN, Refusal.OVERLOAD)
        assert answer.status == 503
        assert (b'retry-after', b'0.250') in answer.headers
        assert (b'request-id', b'9c41') in answer.headers

    @pytest.mark.parametrize('late', [False, True])
    def test_unknown_outcome_promises_nothing(self, late):
        assert self.own(Outcome.UNKNOWN, late=late).status in {502, 504}

    def test_node_without_tables_does_not_deny_a_route(self):
        assert self.own(Outcome.NOT_RUN, Refusal.NO_TABLES).status == 503
        assert self.own(Outcome.NOT_RUN, Refusal.NO_ROUTE).status == 404


class TestProbes:
    def report(self, status=200, **headers):
        upstream = Upstream('i-1', 's', 'z', 'h', 1, VmState.LIVE)
        named = {
            b'instance-id': b'i-1',
            b'instance-load': b'3,1,6,400',
            **{
                key.encode().replace(b'_', b'-'): v
                for key, v in headers.items()
            },
        }
        return PlatformDialect().probe_report(
            upstream, status, list(named.items())
        )

    def test_load_speed_and_cold_start_are_read(self):
        report = self.report(warmup_ms=b'1200')
        assert (report.running, report.waiting, report.slots) == (3, 1, 6)
        assert (report.slowness, report.cold_ms) == (4, 1200)

    def test_other_instance_at_the_address_is_no_report(self):
        assert self.report(instance_id=b'i-2') is None

    def test_unwell_worker_is_no_report(self):
        assert self.report(status=503) is None

    def test_malformed_load_counts_as_none(self):
        assert self.report(instance_load=b'3,x,6').running == 0
