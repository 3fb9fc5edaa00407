"""The oracle fails when a rule is broken on purpose.

The tests guard against an oracle that checks nothing, for instance because the
simulation no longer brings about the situation that a promise is about.
"""

import oracle
import pytest
from hypothesis import Phase
from machine import FleetMachine, run_machine

from figdoor_decisions.configuration import Acceptance, LeaseRule
from figdoor_decisions.eligibility import AvailabilityZoneRule, LeavingRule
from figdoor_decisions.measuring import NodeCount, _probe_need
from figdoor_decisions.membership._neighbour_states import NeighbourStates
from figdoor_decisions.stopping import StopPlan
from figdoor_decisions.warmth import WarmthEvidence, WarmthRule
from figdoor_decisions.warmth._bounds import ServiceBounds
from figdoor_kernel import (
    AttemptState,
    Exchange,
    Outcome,
    RoutedCall,
    Verdict,
    _attempts,
)


def _allow_all(patch, rule):
    patch.setattr(rule, 'evaluate', lambda *_: Verdict.ALLOW)
    patch.setattr(rule, 'confirm', lambda *_: True)


def ignore_zones(patch):
    # The cold start rules also keep requests from zones out of service.
    _allow_all(patch, AvailabilityZoneRule)
    patch.setattr(ServiceBounds, 'in_service', lambda *_: True)


def ignore_cold_starts(patch):
    _allow_all(patch, WarmthRule)


def ignore_signs_of_turning_cold(patch):
    patch.setattr(WarmthEvidence, 'turn_cold', lambda *_: None)


def ignore_other_nodes_probes(patch):
    # Each node probes five times as often as a node without neighbours, and
    # also upstreams whose reports are new.
    patch.setattr(NodeCount, 'largest', lambda *_: 0.2)
    patch.setattr(_probe_need, 'OLD_REPORT_MS', 0)


def ignore_leaving(patch):
    _allow_all(patch, LeavingRule)


def ignore_lease(patch):
    patch.setattr(LeaseRule, 'admit', lambda *_: None)


def accept_older_tables(patch):
    patch.setattr(Acceptance, 'revision', 0)


def accept_without_neighbours(patch):
    patch.setattr(NeighbourStates, 'quorum_has', lambda *_: True)


def trust_service_alone(patch):
    patch.setattr(NeighbourStates, 'running', lambda _: ())


def report_lost_as_not_run(patch):
    always_false = property(lambda _: False, lambda *_: None)
    patch.setattr(Exchange, '_may_have_run', always_false, raising=False)
    patch.setitem(_attempts._OUTCOMES, AttemptState.LOST, Outcome.NOT_RUN)


def report_refused_as_answered(patch):
    close = Exchange._close

    def close_as_answered(exchange, outcome, refusal, now_ms):
        if outcome is Outcome.NOT_RUN:
            outcome = Outcome.ANSWERED
        return close(exchange, outcome, refusal, now_ms)

    patch.setattr(Exchange, '_close', close_as_answered)


def treat_every_call_as_idempotent(patch):
    patch.setattr(RoutedCall, 'idempotent', True)


def stop_without_waiting(patch):
    patch.setattr(StopPlan, '_longest_deadline_ms', lambda _: 0)


BROKEN_RULES = {
    ignore_other_nodes_probes: oracle.probes_stay_within_budget,
    ignore_cold_starts: oracle.cold_upstreams_stay_within_capacity,
    ignore_signs_of_turning_cold: (
        oracle.silently_cold_upstreams_stay_within_capacity
    ),
    ignore_zones: oracle.zones_out_of_service_get_no_new_work,
    ignore_leaving: oracle.leaving_upstreams_get_no_new_work,
    ignore_lease: oracle.configuration_spreads_and_never_reverts,
    accept_without_neighbours: oracle.configuration_spreads_and_never_reverts,
    trust_service_alone: oracle.configuration_spreads_and_never_reverts,
    accept_older_tables: oracle.configuration_spreads_and_never_reverts,
    report_lost_as_not_run: oracle.not_run_means_not_run,
    report_refused_as_answered: oracle.callers_get_one_outcome,
    treat_every_call_as_idempotent: oracle.non_idempotent_runs_at_most_once,
    stop_without_waiting: oracle.planned_stops_abort_nothing,
}


class TestOracle:
    """Guards against checks that pass although the rule is broken."""

    @pytest.mark.parametrize(
        ('broken_rule', 'promise'),
        BROKEN_RULES.items(),
        ids=lambda function: function.__name__,
    )
    def test_broken_rule_fails_its_promise(
        self, broken_rule, promise, monkeypatch
    ):
        broken_rule(monkeypatch)

        class OnePromiseMachine(FleetMachine):
            promises = (promise,)

        with pytest.raises(AssertionError):
            run_machine(OnePromiseMachine, 200, (Phase.generate,))
