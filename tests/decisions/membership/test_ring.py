"""Neighbours on the hash ring."""

import pytest

from figdoor_decisions.membership import neighbours_of


class TestNeighbours:
    """Guards against a ring on which updates need too many hops or messages."""

    @pytest.mark.parametrize(
        ('size', 'count'),
        [(1, 0), (2, 1), (5, 3), (20, 5), (640, 10)],
    )
    def test_each_node_has_log2_n_neighbours(self, size, count):
        names = [f'n{number}' for number in range(size)]
        for name in names:
            neighbours = neighbours_of(name, names)
            assert len(set(neighbours) - {name}) == count

    def test_node_missing_from_the_list_has_neighbours(self):
        assert len(neighbours_of('new', ['n1', 'n2', 'n3'])) == 2

    def test_update_reaches_all_nodes_in_log2_n_hops(self):
        names = [f'n{number}' for number in range(640)]
        reached, frontier, hops = {'n0'}, {'n0'}, 0
        while len(reached) < len(names):
            frontier = {
                peer for name in frontier for peer in neighbours_of(name, names)
            }
            reached |= frontier
            hops += 1
        assert hops <= 10
