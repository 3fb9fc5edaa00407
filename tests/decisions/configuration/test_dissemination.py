"""Spread of new tables over the fleet, and its limits."""

from random import Random

import pytest
from config_fleet import holds_lease, offer, running_fleet


class TestDissemination:
    """Guards against nodes that keep superseded tables after a change."""

    def test_change_read_by_one_node_reaches_all_within_one_second(self):
        fleet = running_fleet(40)
        offer(fleet['n7'], 6)
        fleet.network.advance_ms(1000)
        assert fleet.revisions() == {6}

    def test_change_reaches_all_when_a_third_of_messages_is_lost(self):
        fleet = running_fleet(20)
        random = fleet.network.random
        fleet.network.is_lost = lambda *_: random.random() < 0.33
        offer(fleet['n7'], 6)
        fleet.network.advance_ms(3000)
        assert fleet.revisions() == {6}


class TestSplit:
    """Guards against different tables in force on both sides of a split.

    It would come about if the smaller part accepted a revision that the larger
    one cannot learn. Each node asks log2 n neighbours, so in a split into parts
    of about equal size some nodes of either part can have half of their
    neighbours on their side; that case is not covered.
    """

    @pytest.mark.parametrize('size', [1, 2, 3, 4])
    def test_smaller_part_of_twenty_accepts_nothing_and_loses_its_leases(
        self, size
    ):
        for seed in range(8):
            fleet = running_fleet(20)
            small = Random(seed).sample(fleet.names, size)
            large = [name for name in fleet.names if name not in small]
            fleet.network.split(small, large)
            for _ in range(8):
                for name in small:
                    offer(fleet[name], 6)
                fleet.network.advance_ms(500)
            assert fleet.revisions() == {5}
            assert not any(holds_lease(fleet[name]) for name in small)
            valid = sum(holds_lease(fleet[name]) for name in large)
            assert valid >= 0.75 * len(large)
            fleet.network.heal()
            fleet.network.advance_ms(1500)
            assert fleet.revisions() == {6}
