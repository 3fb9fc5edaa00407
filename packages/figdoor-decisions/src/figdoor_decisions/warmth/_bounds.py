"""Limits that the pools table sets for the upstreams of a service."""

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
    """Limits of each upstream of a service.

    Where several pools have the same service, the lowest limits and all
    availability zones of these pools apply.
    """

    cold_limit: int
    slots: int
    availability_zones: frozenset[AvailabilityZoneName]


class ServiceBounds:
    """Bounds by service, computed once for each version of the tables."""

    def __init__(self, node: Node) -> None:
        """Start without bounds; they are read from the node's tables."""
        self._node = node
        self._tables: Tables | None = None
        self._by_service: dict[ServiceName, Bounds] = {}

    def of(self, service: ServiceName) -> Bounds | None:
        """Return the bounds in force, ``None`` for an unknown service."""
        tables = self._node.tables
        if tables is not self._tables:
            self._tables = tables
            self._by_service = _merge_pools(tables) if tables else {}
        return self._by_service.get(service)

    def in_service(self, upstream: Upstream) -> bool:
        """Return whether the upstream is live and a pool has its zone."""
        bounds = self.of(upstream.service)
        if bounds is None or upstream.vm_state is not VmState.LIVE:
            return False
        return upstream.availability_zone in bounds.availability_zones


def _merge_pools(tables: Tables) -> dict[ServiceName, Bounds]:
    merged: dict[ServiceName, Bounds] = {}
    for pool in tables.pools.values():
        previous = merged.get(pool.service)
        bounds = Bounds(pool.cold_limit, pool.slots, pool.availability_zones)
        if previous is not None:
            bounds = Bounds(
                min(previous.cold_limit, bounds.cold_limit),
                min(previous.slots, bounds.slots),
                previous.availability_zones | bounds.availability_zones,
            )
        merged[pool.service] = bounds
    return merged
