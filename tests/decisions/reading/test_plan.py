"""Reads of the platform by the whole fleet, and the limits on them."""

from collections import Counter
from random import Random

import pytest
from support import ManualClock, io_free_registry, node_vm, tables

from figdoor_decisions.reading import is_watcher
from figdoor_decisions.reading._share import RateShare
from figdoor_kernel import (
    AvailabilityZoneName,
    ConfigReadFailed,
    ConfigReadSucceeded,
    Extension,
    Node,
    NodeId,
    TablesAccepted,
    Tick,
    VmList,
    VmListChanged,
)

SERVICE_LIMIT_PER_S = 2000
TICK_MS = 50


class ReadingFleet:
    """The plans of all nodes, and a service that answers or fails each read."""

    def __init__(self, size, zones=7, listed=True):
        self.clock = ManualClock()
        self.reads = Counter()
        self.watches = Counter()
        registry = io_free_registry()
        self.rows = [
            node_vm(f'n{number}', f'z{number % zones}')
            for number in range(size)
        ]
        self.nodes = [
            Node(
                NodeId(row.vm_id),
                AvailabilityZoneName(row.availability_zone),
                self.clock,
                Random(number),
                registry,
            )
            for number, row in enumerate(self.rows)
        ]
        self.waiting = {}
        self.confirmed = {}
        for node in self.nodes:
            node.part(Extension.SERVICE, 'reading-plan')
            if listed:
                node.events.publish(VmListChanged(VmList(self.rows), 0))

    def publish_tables(self):
        for node in self.nodes:
            now_ms = self.clock.now_ms()
            node.events.publish(TablesAccepted(tables(), now_ms))

    def run(self, duration_ms, answers=True, renews_leases=False):
        """Advance the clock; can renew all leases, as neighbours would."""
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            self.clock.advance_ms(TICK_MS)
            for node in self.nodes:
                self.step(node, answers, renews_leases)

    def step(self, node, answers, renews_leases):
        now_ms = self.clock.now_ms()
        plan = node.part(Extension.SERVICE, 'reading-plan')
        if renews_leases:
            node.part(Extension.SERVICE, 'config-lease').confirm(now_ms)
        node.events.publish(Tick(now_ms))
        second = int(now_ms // 1000)
        if plan.may_read_vm_list(now_ms):
            self.reads[second] += 1
        until_ms, started_ms = self.waiting.get(node.node_id, (0, None))
        if now_ms < until_ms:
            return
        if started_ms is not None:
            del self.waiting[node.node_id]
            node.events.publish(ConfigReadSucceeded(started_ms, 1))
            self.confirmed[node.node_id] = started_ms
        planned = plan.next_tables_read(now_ms)
        if planned is None:
            return
        self.reads[second] += 1
        self.watches[second] += planned.wait_ms > 0
        if answers:
            wait_ms = planned.wait_ms
            self.waiting[node.node_id] = (now_ms + wait_ms, now_ms)
        else:
            node.events.publish(ConfigReadFailed(now_ms, now_ms))

    def has_fresh_read(self, node):
        """Return whether a successful read started within one lease."""
        age_ms = self.clock.now_ms() - self.confirmed[node.node_id]
        return age_ms <= node.options.lease_ms

    def mean_reads(self, first_second):
        counts = [
            count
            for second, count in self.reads.items()
            if second >= first_second
        ]
        return sum(counts) / len(counts)

    def most_reads(self, first_second=0):
        return max(
            count
            for second, count in self.reads.items()
            if second >= first_second
        )


class TestRates:
    """Guards against more reads per second than the platform serves.

    The nodes read together after a start, a pause or a wrong VM list. In one
    second each node may use a saved token in addition to the mean rate.
    """

    @pytest.mark.parametrize(('size', 'mean'), [(20, 50), (640, 450)])
    def test_reads_stay_within_mean_while_leases_are_renewed(self, size, mean):
        fleet = ReadingFleet(size)
        fleet.publish_tables()
        fleet.run(10_000, renews_leases=True)
        assert fleet.most_reads(2) <= 1.25 * mean
        assert fleet.mean_reads(2) <= mean

    @pytest.mark.parametrize('answers', [True, False])
    @pytest.mark.parametrize(('size', 'mean'), [(20, 130), (640, 700)])
    def test_reads_stay_within_share_when_neighbours_renew_no_lease(
        self, size, mean, answers
    ):
        fleet = ReadingFleet(size)
        fleet.publish_tables()
        fleet.run(12_000, answers)
        assert fleet.most_reads(2) <= mean + size
        assert fleet.mean_reads(4) <= mean

    def test_unlisted_fleet_that_starts_together_stays_within_limit(self):
        fleet = ReadingFleet(640, listed=False)
        fleet.run(5000, answers=False)
        assert fleet.most_reads() <= SERVICE_LIMIT_PER_S * 0.75
        assert fleet.most_reads(2) <= SERVICE_LIMIT_PER_S * 0.6

    def test_fleet_that_resumes_together_stays_within_limit(self):
        fleet = ReadingFleet(640)
        fleet.publish_tables()
        fleet.run(5000, renews_leases=True)
        fleet.clock.advance_ms(60_000)
        fleet.run(3000, answers=False)
        assert fleet.most_reads() <= SERVICE_LIMIT_PER_S * 0.75

    @pytest.mark.parametrize('answers', [True, False])
    def test_reads_stay_within_limit_when_each_node_is_listed_alone(
        self, answers
    ):
        """Every node then is a watcher with the whole rate as its share."""
        fleet = ReadingFleet(640)
        fleet.publish_tables()
        for node, row in zip(fleet.nodes, fleet.rows, strict=True):
            node.events.publish(VmListChanged(VmList((row,)), 0))
        fleet.run(12_000, answers)
        assert fleet.most_reads() <= SERVICE_LIMIT_PER_S


class TestWatchers:
    """Guards against times in which no read confirms the tables of a node.

    They come about if the next read does not start in time to end within one
    lease after the start of the last one.
    """

    def test_two_nodes_in_each_zone_watch_without_gaps(self):
        fleet = ReadingFleet(20, zones=4)
        fleet.publish_tables()
        fleet.run(2000)
        watchers = [
            node
            for node in fleet.nodes
            if node.part(Extension.SERVICE, 'reading-plan').is_watcher
        ]
        zones = Counter(node.availability_zone for node in watchers)
        assert zones == dict.fromkeys(zones, 2) and len(zones) == 4
        for _ in range(100):
            fleet.run(TICK_MS)
            assert all(map(fleet.has_fresh_read, watchers))

    def test_nodes_of_small_fleet_read_within_their_share_without_gaps(self):
        fleet = ReadingFleet(20)
        fleet.publish_tables()
        fleet.run(3000)
        for _ in range(100):
            fleet.run(TICK_MS)
            assert all(map(fleet.has_fresh_read, fleet.nodes))

    def test_removal_of_a_watcher_changes_no_other_watcher(self):
        rows = [node_vm(f'n{number}') for number in range(20)]
        before = {
            row.vm_id for row in rows if is_watcher(row.vm_id, 'z1', rows)
        }
        removed = next(iter(sorted(before)))
        rest = [row for row in rows if row.vm_id != removed]
        after = {row.vm_id for row in rest if is_watcher(row.vm_id, 'z1', rest)}
        assert len(before) == len(after) == 2
        assert before - {removed} <= after


class TestRateShare:
    """Guards against bursts of reads after a pause."""

    def test_pause_adds_no_token_and_capacity_is_one(self):
        share = RateShare(Random(1))
        share.refill(1, 0)
        assert share.acquire()
        share.refill(1, 60_000)
        assert not share.acquire()
        for tick in range(1, 100):
            share.refill(1, 60_000 + tick * TICK_MS)
        assert share.acquire()
        assert not share.acquire()
