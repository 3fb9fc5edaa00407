"""Well-known policies, as baselines for comparison."""

from collections.abc import Sequence

from figdoor_kernel import Node, PoolName, RoutedCall, Upstream


class RandomChoice:
    """Selects any upstream with equal probability."""

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
    """Selects the upstreams of a pool in rotation."""

    def __init__(self, node: Node) -> None:
        """Start without positions.

        The first position of each pool is random, so that nodes do not select
        the same upstreams at the same time.
        """
        self._random = node.random
        self._positions: dict[PoolName, int] = {}

    def choose(
        self,
        candidates: Sequence[Upstream],
        routed: RoutedCall,
        now_ms: float,
    ) -> Upstream:
        """Return the next candidate."""
        name = routed.pool.name
        position = self._positions.get(name)
        if position is None:
            position = self._random.randrange(len(candidates))
        self._positions[name] = position + 1
        return candidates[position % len(candidates)]


class LeastRequests:
    """Selects the upstream with the fewest requests from this node."""

    def __init__(self, node: Node) -> None:
        """Use the node's random generator to break ties."""
        self._random = node.random

    def choose(
        self,
        candidates: Sequence[Upstream],
        routed: RoutedCall,
        now_ms: float,
    ) -> Upstream:
        """Return one of the candidates with the lowest count."""
        lowest = min(upstream.in_flight for upstream in candidates)
        least_loaded = [
            upstream for upstream in candidates if upstream.in_flight == lowest
        ]
        return self._random.choice(least_loaded)


class PowerOfTwo:
    """Selects the less loaded of two random upstreams.

    The load is the number of this node's own requests in flight.
    """

    def __init__(self, node: Node) -> None:
        """Use the node's random generator."""
        self._random = node.random

    def choose(
        self,
        candidates: Sequence[Upstream],
        routed: RoutedCall,
        now_ms: float,
    ) -> Upstream:
        """Return the candidate with fewer requests in flight."""
        if len(candidates) == 1:
            return candidates[0]
        first, second = self._random.sample(candidates, 2)
        return second if second.in_flight < first.in_flight else first
