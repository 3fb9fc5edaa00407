"""Limits on what one node sends to upstreams and accepts from tenants."""

from figdoor_decisions.limits._caps import (
    InFlightLimit,
    connection_cap,
    in_flight_cap,
)
from figdoor_decisions.limits._connections import ConnectionLimits
from figdoor_decisions.limits._fairness import TenantShare
from figdoor_decisions.limits._sharing import UpstreamSharing
from figdoor_decisions.limits._subsetting import choose_subset, rendezvous_hash
from figdoor_kernel import Extension, Registry

__all__ = (
    'ConnectionLimits',
    'InFlightLimit',
    'UpstreamSharing',
    'TenantShare',
    'choose_subset',
    'connection_cap',
    'in_flight_cap',
    'rendezvous_hash',
    'register',
    'register_caps',
    'register_connections',
)


def register(registry: Registry) -> None:
    """Provide the subsets, and the connection limits that follow from them."""
    registry.provide(Extension.SERVICE, 'sharing', UpstreamSharing)
    register_connections(registry)


def register_connections(registry: Registry) -> None:
    """Provide the connection limits; another plug-in provides ``sharing``."""
    registry.provide(Extension.SERVICE, 'connection-limits', ConnectionLimits)


def register_caps(registry: Registry) -> None:
    """Provide the in-flight caps and the tenants' shares."""
    registry.provide(Extension.CANDIDATE_RULE, 'in-flight', InFlightLimit)
    registry.provide(Extension.ADMISSION_RULE, 'tenant-share', TenantShare)
