"""What a node that has just started learns from the others."""

from math import log2

import pytest
from gossip_fleet import STEP_MS, Fleet
from hypothesis import given, settings
from hypothesis import strategies as st
from store_fleet import StoreNode, worker
from support import Recorder

from figdoor_decisions.state_transfer._transfer import (
    FIRST_INTERVAL_MS,
    MAX_DURATION_MS,
    MAX_INTERVAL_MS,
    SECOND_ROUND_MS,
)
from figdoor_decisions.suspects._suspects import MAX_SUSPECTS, MAX_TRANSFERRED
from figdoor_kernel import (
    AttemptResult,
    AttemptState,
    BroadcastRequested,
    Extension,
    Finish,
    LeavingSeen,
    ObservedCrash,
    Refusal,
    Send,
    StateReceived,
    StateRequested,
    SuspectedRequest,
    TransferredState,
    UpdateReceived,
    UpstreamDied,
    UpstreamDraining,
)

# Rules with a time bound hold for a node from then on.
STABILITY_MS = 3000
POISON = 7


class TransferFleet(Fleet):
    """A fleet whose nodes answer requests for state, unless they are cut off."""

    def __init__(self, size):
        self.requests = []
        super().__init__(size)

    def start(self, number):
        super().start(number)
        name = f'n{number}'
        self.nodes[name].events.subscribe(
            StateRequested, lambda event: self.answer(name, event.peer)
        )

    def answer(self, name, peer):
        self.requests.append((name, peer))
        if {name, peer} & self.cut:
            return
        now_ms = self.clock.now_ms()
        state = self.part(peer, 'state-transfer').state(now_ms)
        self.nodes[name].events.publish(StateReceived(peer, state, now_ms))

    def crash(self, *instances, nodes=None):
        """Let nodes learn of crashes at which the request was in flight."""
        for name in nodes or self.nodes:
            for instance in instances:
                update = UpstreamDied('r', POISON, f'w{instance}', instance)
                self.nodes[name].events.publish(
                    UpdateReceived('n9', update, self.clock.now_ms())
                )

    def crash_count(self, name):
        state = self.part(name, 'state-transfer').state(self.clock.now_ms())
        counts = [
            len(suspect.crashes)
            for suspect in state.suspects
            if suspect.fingerprint == POISON
        ]
        return sum(counts)

    def is_settled(self, name):
        return self.part(name, 'state-transfer').is_settled


def running_fleet(size=4):
    """Return a fleet whose nodes have run for a while."""
    fleet = TransferFleet(size)
    fleet.run(int(MAX_DURATION_MS) + 1000)
    fleet.requests.clear()
    return fleet


class TestStart:
    """Guards against nodes that start and know nothing of what others saw."""

    def test_crashes_outlive_a_rolling_restart(self):
        fleet = running_fleet()
        fleet.crash('1', '2', '3')
        for number in range(4):
            fleet.start(number)
            fleet.run(STABILITY_MS)
            assert fleet.crash_count(f'n{number}') == 3

    def test_crashes_outlive_restarts_that_overlap(self):
        fleet = running_fleet()
        fleet.crash('1', '2', '3')
        for number in (0, 1, 2, 3, 0):
            fleet.start(number)
            fleet.run(500)
        fleet.run(STABILITY_MS)
        assert [fleet.crash_count(name) for name in fleet.nodes] == [3] * 4

    @settings(max_examples=25, deadline=None)
    @given(
        st.lists(st.tuples(st.integers(0, 4), st.integers(10, 60)), max_size=12)
    )
    def test_crashes_outlive_any_series_of_restarts(self, restarts):
        fleet = running_fleet(5)
        fleet.crash('1', '2', '3')
        for number, steps in restarts:
            fleet.start(number)
            fleet.run(steps * STEP_MS)
        fleet.run(STABILITY_MS)
        assert [fleet.crash_count(name) for name in fleet.nodes] == [3] * 5

    def test_peers_that_do_not_answer_are_passed_over(self):
        fleet = running_fleet()
        fleet.crash('1', '2', '3', nodes=['n2'])
        fleet.start(0)
        fleet.run(150)
        fleet.cut = {'n1', 'n3'}
        fleet.run(STABILITY_MS)
        assert fleet.crash_count('n0') == 3

    def test_node_without_peers_is_settled_in_the_end(self):
        fleet = TransferFleet(1)
        fleet.run(int(MAX_DURATION_MS) + 1000)
        assert fleet.is_settled('n0')
        assert not fleet.requests

    def test_nodes_that_start_together_ask_rarely(self):
        """Guards against hundreds of connections a second at a start."""
        fleet = TransferFleet(4)
        fleet.run(int(MAX_DURATION_MS) + 1000)
        doublings = log2(MAX_INTERVAL_MS / FIRST_INTERVAL_MS)
        most = MAX_DURATION_MS / MAX_INTERVAL_MS + doublings + 1
        assert len(fleet.requests) <= 4 * most
        assert all(map(fleet.is_settled, fleet.nodes))

    def test_node_that_is_not_settled_says_so(self):
        fleet = TransferFleet(2)
        fleet.run(1000)
        assert not fleet.part('n0', 'state-transfer').state(0).is_settled

    def test_what_others_saw_during_a_pause_is_asked_for(self):
        """Guards against updates that a frozen process has lost."""
        fleet = running_fleet()
        fleet.crash('1', '2', '3', nodes=['n1', 'n2', 'n3'])
        paused = fleet.nodes.pop('n0')
        fleet.run(5000)
        fleet.nodes['n0'] = paused
        fleet.run(STABILITY_MS)
        assert fleet.crash_count('n0') == 3

    def test_what_others_saw_before_they_knew_the_node_is_asked_for(self):
        """Guards against an update that no node sent to a new member."""
        fleet = running_fleet()
        fleet.start(0)
        fleet.run(STABILITY_MS)
        fleet.crash('1', '2', '3', nodes=['n1', 'n2', 'n3'])
        fleet.run(int(SECOND_ROUND_MS))
        assert fleet.crash_count('n0') == 3
        count = len(fleet.requests)
        fleet.run(60_000)
        assert len(fleet.requests) == count


class Rig:
    """A node with upstreams, and the state that it knows and adopts."""

    def __init__(self, **options):
        self.fleet = StoreNode(
            *(worker(f'w{index}') for index in range(8)),
            quarantine_deaths=3,
            **options,
        )
        self.fleet.clock.advance_ms(10_000_000)
        for index in range(8):
            self.fleet.set_load(f'w{index}')
        self.node = self.fleet.node
        self.transfer = self.node.part(Extension.SERVICE, 'state-transfer')

    @property
    def state(self):
        return self.transfer.state(self.fleet.now_ms)

    def adopt(self, state):
        received = StateReceived('n2', state, self.fleet.now_ms)
        self.node.events.publish(received)

    def adopt_crashes(self, *ages_ms, fingerprint=POISON, cleared_age_ms=None):
        crashes = tuple(
            ObservedCrash(f'w{index}', f'{index}', age_ms)
            for index, age_ms in enumerate(ages_ms)
        )
        suspect = SuspectedRequest('r', fingerprint, crashes, cleared_age_ms)
        self.adopt(TransferredState((suspect,)))

    def refusal(self):
        step = self.fleet.next_step(self.fleet.open(fingerprint=POISON))
        return step.refusal if isinstance(step, Finish) else None

    def run(self, state):
        """Run the request once with this end of its attempt."""
        exchange = self.fleet.open(fingerprint=POISON)
        step = self.fleet.next_step(exchange)
        assert isinstance(step, Send)
        assert exchange.confirm_send(self.fleet.now_ms)
        is_lost = state is AttemptState.LOST
        if not is_lost:
            exchange.begin_response()
        result = AttemptResult(state, connection_died=is_lost, final=True)
        exchange.end(result, self.fleet.now_ms)

    def ages_ms(self):
        rows = [row for row in self.state.suspects if row.fingerprint == POISON]
        return [crash.age_ms for row in rows for crash in row.crashes]


class TestSuspects:
    """Guards against a request that crashes more upstreams after a restart."""

    def test_request_is_refused_after_its_crashes_were_adopted(self):
        rig = Rig()
        assert rig.refusal() is None
        rig.adopt_crashes(9000, 5000, 1000)
        assert rig.refusal() is Refusal.QUARANTINED

    def test_quarantine_does_not_begin_anew_with_each_start(self):
        """Guards against a request that is refused for ever."""
        rig = Rig()
        rig.adopt_crashes(59_000, 58_000, 57_000)
        rig.fleet.clock.advance_ms(2900)
        assert rig.refusal() is Refusal.QUARANTINED
        rig.fleet.clock.advance_ms(200)
        assert rig.refusal() is None

    def test_ages_grow_from_node_to_node(self):
        rig = Rig()
        rig.adopt_crashes(9000, 5000, 1000)
        rig.fleet.clock.advance_ms(500)
        assert rig.ages_ms() == [9500, 5500, 1500]

    def test_crash_that_is_known_counts_once(self):
        rig = Rig()
        rig.adopt_crashes(9000, 5000)
        rig.adopt_crashes(9010, 4990)
        assert rig.ages_ms() == [9000, 5000]

    def test_crashes_are_ordered_by_time_however_they_arrive(self):
        rig = Rig()
        rig.run(AttemptState.LOST)
        rig.adopt_crashes(9000, 2000, 5000)
        assert rig.ages_ms() == sorted(rig.ages_ms(), reverse=True)
        assert len(rig.ages_ms()) == 4

    @pytest.mark.parametrize('is_told_first', [False, True])
    def test_answer_clears_what_other_nodes_still_hold(self, is_told_first):
        """Guards against refusals that a restart brings back."""
        rig = Rig()
        if is_told_first:
            rig.adopt_crashes(cleared_age_ms=500)
        rig.adopt_crashes(9000, 5000, 1000)
        if not is_told_first:
            rig.adopt_crashes(cleared_age_ms=500)
        assert rig.refusal() is None
        assert not rig.ages_ms()

    def test_own_answer_clears_what_others_saw_before(self):
        rig = Rig()
        rig.run(AttemptState.ANSWERED)
        rig.adopt_crashes(9000, 5000, 1000)
        assert rig.refusal() is None

    def test_cleared_request_is_handed_on_as_such(self):
        rig = Rig()
        rig.run(AttemptState.LOST)
        rig.run(AttemptState.ANSWERED)
        rig.fleet.clock.advance_ms(300)
        (suspect,) = rig.state.suspects
        assert suspect.crashes == ()
        assert suspect.cleared_age_ms >= 300

    def test_crashes_that_do_not_count_any_more_are_not_handed_on(self):
        rig = Rig()
        rig.adopt_crashes(1000)
        rig.fleet.clock.advance_ms(60_000)
        assert not rig.ages_ms()

    def test_those_with_most_crashes_are_handed_on(self):
        """Guards against answers that are too long for a slow link."""
        rig = Rig()
        rig.adopt_crashes(9000, 5000, 1000)
        for fingerprint in range(100, 100 + MAX_SUSPECTS - 1):
            rig.adopt_crashes(100, fingerprint=fingerprint)
        assert len(rig.state.suspects) == MAX_TRANSFERRED
        assert rig.ages_ms() == [9000, 5000, 1000]

    def test_nothing_is_broadcast(self):
        """Guards against messages that each start of a node repeats."""
        rig = Rig()
        broadcasts = Recorder(rig.node, BroadcastRequested)
        rig.adopt_crashes(9000, 5000, 1000)
        assert not broadcasts.events


class TestLeaving:
    """Guards against requests to upstreams that told other nodes they leave."""

    def test_leaving_upstream_is_adopted(self):
        rig = Rig()
        told = Rig()
        seen = LeavingSeen('w1', told.fleet.now_ms)
        told.node.events.publish(seen)
        rig.adopt(told.state)
        rule = rig.node.part(Extension.CANDIDATE_RULE, 'leaving')
        verdicts = {
            name: rule.evaluate(rig.node.fleet.find(name), None, 0).value
            for name in ('w1', 'w2')
        }
        assert verdicts['w1'] != verdicts['w2']
        assert rig.state.leaving == (UpstreamDraining('w1', '1'),)

    def test_next_instance_is_used(self):
        rig = Rig()
        rig.adopt(TransferredState(leaving=(UpstreamDraining('w1', '0'),)))
        rule = rig.node.part(Extension.CANDIDATE_RULE, 'leaving')
        first, second = (rig.node.fleet.find(name) for name in ('w1', 'w2'))
        assert rule.evaluate(first, None, 0) is rule.evaluate(second, None, 0)
