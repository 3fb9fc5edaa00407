"""Reads of the platform by the whole fleet, against the service's limit."""

from collections import Counter
from random import Random

import pytest
from support import ManualClock, io_free_registry, node_vm, tables

from figdoor_decisions.reading import holds_watch
from figdoor_decisions.reading._share import Share
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
    """Plans only, with a service that answers or fails as told."""

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

    def run(self, duration_ms, answers=True, leases=False):
        """Let time pass; ``leases`` renews them as neighbours would."""
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            self.clock.advance_ms(TICK_MS)
            for node in self.nodes:
                self.step(node, answers, leases)

    def step(self, node, answers, leases):
        now_ms = self.clock.now_ms()
        plan = node.part(Extension.SERVICE, 'reading-plan')
        if leases:
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
        """Tell whether a read began within one lease and has succeeded."""
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
    """A second may see one token of every node on top of the rates."""

    @pytest.mark.parametrize(('size', 'mean'), [(20, 50), (640, 450)])
    def test_ordinary_day(self, size, mean):
        fleet = ReadingFleet(size)
        fleet.publish_tables()
        fleet.run(10_000, leases=True)
        assert fleet.most_reads(2) <= 1.25 * mean
        assert fleet.mean_reads(2) <= mean

    @pytest.mark.parametrize('answers', [True, False])
    @pytest.mark.parametrize(('size', 'mean'), [(20, 130), (640, 700)])
    def test_no_lease_from_neighbours(self, size, mean, answers):
        fleet = ReadingFleet(size)
        fleet.publish_tables()
        fleet.run(12_000, answers)
        assert fleet.most_reads(2) <= mean + size
        assert fleet.mean_reads(4) <= mean

    def test_whole_fleet_that_starts_unlisted(self):
        fleet = ReadingFleet(640, listed=False)
        fleet.run(5000, answers=False)
        assert fleet.most_reads() <= SERVICE_LIMIT_PER_S * 0.75
        assert fleet.most_reads(2) <= SERVICE_LIMIT_PER_S * 0.6

    def test_whole_fleet_that_wakes_from_a_pause(self):
        fleet = ReadingFleet(640)
        fleet.publish_tables()
        fleet.run(5000, leases=True)
        fleet.clock.advance_ms(60_000)
        fleet.run(3000, answers=False)
        assert fleet.most_reads() <= SERVICE_LIMIT_PER_S * 0.75

    @pytest.mark.parametrize('answers', [True, False])
    def test_list_that_wrongly_shows_one_node_to_each(self, answers):
        """Every node then holds a watch and takes the whole share."""
        fleet = ReadingFleet(640)
        fleet.publish_tables()
        for node, row in zip(fleet.nodes, fleet.rows, strict=True):
            node.events.publish(VmListChanged(VmList((row,)), 0))
        fleet.run(12_000, answers)
        assert fleet.most_reads() <= SERVICE_LIMIT_PER_S


class TestHolders:
    def test_two_nodes_in_each_zone_watch_without_gaps(self):
        fleet = ReadingFleet(20, zones=4)
        fleet.publish_tables()
        fleet.run(2000)
        holders = [
            node
            for node in fleet.nodes
            if node.part(Extension.SERVICE, 'reading-plan').holds_watch
        ]
        zones = Counter(node.availability_zone for node in holders)
        assert zones == dict.fromkeys(zones, 2) and len(zones) == 4
        for _ in range(100):
            fleet.run(TICK_MS)
            assert all(map(fleet.has_fresh_read, holders))

    def test_nodes_read_by_their_share_without_gaps_in_a_small_fleet(self):
        fleet = ReadingFleet(20)
        fleet.publish_tables()
        fleet.run(3000)
        for _ in range(100):
            fleet.run(TICK_MS)
            assert all(map(fleet.has_fresh_read, fleet.nodes))

    def test_node_that_leaves_the_list_moves_one_watch_only(self):
        rows = [node_vm(f'n{number}') for number in range(20)]
        before = {
            row.vm_id for row in rows if holds_watch(row.vm_id, 'z1', rows)
        }
        gone = next(iter(sorted(before)))
        rest = [row for row in rows if row.vm_id != gone]
        after = {
            row.vm_id for row in rest if holds_watch(row.vm_id, 'z1', rest)
        }
        assert len(before) == len(after) == 2
        assert before - {gone} <= after


class TestShare:
    def test_pause_earns_nothing_and_one_token_is_the_most(self):
        share = Share(Random(1))
        share.earn(1, 0)
        assert share.take()
        share.earn(1, 60_000)
        assert not share.take()
        for tick in range(1, 100):
            share.earn(1, 60_000 + tick * TICK_MS)
        assert share.take()
        assert not share.take()
