"""Weighted split of a route's requests over several pools."""

from dataclasses import dataclass

from figdoor_kernel._ids import PoolName, RouteName
from figdoor_kernel._tables import Route


@dataclass(slots=True)
class _SplitState:
    """Current weights of the pools of a split.

    A positive credit means that a pool got less than its share so far.
    """

    split: tuple[tuple[PoolName, float], ...]
    credits: list[float]


class Splitter:
    """Smooth weighted round robin over the pools of each split route.

    In any sequence of requests, each pool gets its weighted share to within
    one request, and no pool gets a burst.
    """

    def __init__(self) -> None:
        """Create a splitter without credits."""
        self._by_route: dict[RouteName, _SplitState] = {}

    def pick(self, route: Route) -> PoolName:
        """Return the pool of the next request."""
        if not route.split:
            return route.pool
        state = self._by_route.get(route.name)
        if state is None or state.split != route.split:
            state = _SplitState(route.split, [float() for _ in route.split])
            self._by_route[route.name] = state
        total = sum(weight for _, weight in route.split)
        for index, (_, weight) in enumerate(route.split):
            state.credits[index] += weight
        best = max(range(len(state.credits)), key=state.credits.__getitem__)
        state.credits[best] -= total
        return route.split[best][0]
