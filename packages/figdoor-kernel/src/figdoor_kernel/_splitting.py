"""Weighted splits of a route's requests over several pools."""

from dataclasses import dataclass

from figdoor_kernel._ids import PoolName, RouteName
from figdoor_kernel._tables import Route


@dataclass(slots=True)
class _Turns:
    """What each pool of a split is owed, in parts of one request."""

    split: tuple[tuple[PoolName, float], ...]
    credits: list[float]


class Splitter:
    """Smooth weighted round robin over the pools of each split route.

    Any run of requests is divided as the weights say, to within one request
    for each pool, without bursts to one of them.
    """

    def __init__(self) -> None:
        """Start without turns."""
        self._by_route: dict[RouteName, _Turns] = {}

    def pick(self, route: Route) -> PoolName:
        """Return the pool whose turn it is."""
        if not route.split:
            return route.pool
        turns = self._by_route.get(route.name)
        if turns is None or turns.split != route.split:
            turns = _Turns(route.split, [float() for _ in route.split])
            self._by_route[route.name] = turns
        total = sum(weight for _, weight in route.split)
        for index, (_, weight) in enumerate(route.split):
            turns.credits[index] += weight
        best = max(range(len(turns.credits)), key=turns.credits.__getitem__)
        turns.credits[best] -= total
        return route.split[best][0]
