"""Well-known policies, kept to measure others against."""

from collections.abc import Sequence

from figdoor_kernel import Node, PoolName, RoutedCall, Upstream


class RandomChoice:
    """Any upstream with equal probability."""

    def __init__(self, node: Node) -> None:
        """Use the node's random generator."""
        self._random = node.random

    def choose(
        self,
        candidates: Sequence[Upstream],
        routed: RoutedCall,
        now_ms: float,
    ) -> Upstream:
        """Return a random candidate."""
        return self._random.choice(candidates)


class RoundRobin:
    """Each upstream of a pool in turn."""

    def __init__(self, node: Node) -> None:
        """Start each pool at a random place, so that nodes differ."""
        self._random = node.random
        self._turns: dict[PoolName, int] = {}

    def choose(
        self,
        candidates: Sequence[Upstream],
        routed: RoutedCall,
        now_ms: float,
    ) -> Upstream:
        """Return the next candidate."""
        name = routed.pool.name
        turn = self._turns.get(name)
        if turn is None:
            turn = self._random.randrange(len(candidates))
        self._turns[name] = turn + 1
        return candidates[turn % len(candidates)]


class LeastRequests:
    """The upstream with the fewest requests in flight from this node."""

    def __init__(self, node: Node) -> None:
        """Break ties at random."""
        self._random = node.random

    def choose(
        self,
        candidates: Sequence[Upstream],
        routed: RoutedCall,
        now_ms: float,
    ) -> Upstream:
        """Return one of the candidates with the lowest count."""
        lowest = min(upstream.in_flight for upstream in candidates)
        least = [
            upstream for upstream in candidates if upstream.in_flight == lowest
        ]
        return self._random.choice(least)


class PowerOfTwo:
    """The less loaded of two random upstreams, by this node's own counts."""

    def __init__(self, node: Node) -> None:
        """Use the node's random generator."""
        self._random = node.random

    def choose(
        self,
        candidates: Sequence[Upstream],
        routed: RoutedCall,
        now_ms: float,
    ) -> Upstream:
        """Return the better of two samples."""
        if len(candidates) == 1:
            return candidates[0]
        first, second = self._random.sample(candidates, 2)
        return second if second.in_flight < first.in_flight else first
