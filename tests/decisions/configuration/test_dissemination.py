"""How a change spreads, and where it must not."""

from random import Random

import pytest
from config_fleet import holds, offer, running_fleet


class TestDissemination:
    def test_change_read_by_one_node_is_soon_everywhere(self):
        fleet = running_fleet(40)
        offer(fleet['n7'], 6)
        fleet.network.advance_ms(1000)
        assert fleet.revisions() == {6}

    def test_change_passes_while_a_third_of_messages_gets_lost(self):
        fleet = running_fleet(20)
        random = fleet.network.random
        fleet.network.is_lost = lambda *_: random.random() < 0.33
        offer(fleet['n7'], 6)
        fleet.network.advance_ms(3000)
        assert fleet.revisions() == {6}


class TestSplit:
    """A smaller part must not accept what the larger one cannot learn.

    Nodes ask log2 n neighbours, so parts of about equal size can each hold
    half of the neighbours of some nodes; that case is not covered.
    """

    @pytest.mark.parametrize('size', [1, 2, 3, 4])
    def test_smaller_part_of_twenty_accepts_nothing_and_stops(self, size):
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
            assert not any(holds(fleet[name]) for name in small)
            kept = sum(holds(fleet[name]) for name in large)
            assert kept >= 0.75 * len(large)
            fleet.network.heal()
            fleet.network.advance_ms(1500)
            assert fleet.revisions() == {6}
