"""The hash ring."""

import pytest

from figdoor_decisions.membership import neighbours_of


class TestNeighbours:
    @pytest.mark.parametrize(
        ('size', 'count'),
        [(1, 0), (2, 1), (5, 3), (20, 5), (640, 10)],
    )
    def test_each_node_has_log2_n_neighbours(self, size, count):
        names = [f'n{number}' for number in range(size)]
        for name in names:
            found = neighbours_of(name, names)
            assert len(set(found) - {name}) == count

    def test_unlisted_node_has_neighbours_too(self):
        assert len(neighbours_of('new', ['n1', 'n2', 'n3'])) == 2

    def test_news_crosses_the_ring_in_log2_n_hops(self):
        names = [f'n{number}' for number in range(640)]
        reached, edge, hops = {'n0'}, {'n0'}, 0
        while len(reached) < len(names):
            edge = {
                peer for name in edge for peer in neighbours_of(name, names)
            }
            reached |= edge
            hops += 1
        assert hops <= 10
