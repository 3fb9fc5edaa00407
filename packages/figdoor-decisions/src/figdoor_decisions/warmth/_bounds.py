"""What the pools table says about the upstreams of a service."""

from dataclasses import dataclass

from figdoor_kernel import (
    AvailabilityZoneName,
    Node,
    ServiceName,
    Tables,
    Upstream,
    VmState,
)


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits of each upstream; the strictest where pools share a service."""

    cold_limit: int
    slots: int
    availability_zones: frozenset[AvailabilityZoneName]


class ServiceBounds:
    """Bounds by service, computed once for each accepted pair of tables."""

    def __init__(self, node: Node) -> None:
        """Read the tables of this node."""
        self._node = node
        self._tables: Tables | None = None
        self._by_service: dict[ServiceName, Bounds] = {}

    def of(self, service: ServiceName) -> Bounds | None:
        """Return the bounds in force, ``None`` where no pool has them."""
        tables = self._node.tables
        if tables is not self._tables:
            self._tables = tables
            self._by_service = _join_pools(tables) if tables else {}
        return self._by_service.get(service)

    def in_service(self, upstream: Upstream) -> bool:
        """Return whether it is live and its zone in service in any pool."""
        bounds = self.of(upstream.service)
        if bounds is None or upstream.vm_state is not VmState.LIVE:
            return False
        return upstream.availability_zone in bounds.availability_zones


def _join_pools(tables: Tables) -> dict[ServiceName, Bounds]:
    joined: dict[ServiceName, Bounds] = {}
    for pool in tables.pools.values():
        known = joined.get(pool.service)
        bounds = Bounds(pool.cold_limit, pool.slots, pool.availability_zones)
        if known is not None:
            bounds = Bounds(
                min(known.cold_limit, bounds.cold_limit),
                min(known.slots, bounds.slots),
                known.availability_zones | bounds.availability_zones,
            )
        joined[pool.service] = bounds
    return joined
