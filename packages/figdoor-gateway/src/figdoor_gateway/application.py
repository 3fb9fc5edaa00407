"""Builds a node from settings and installed plug-ins."""

from random import SystemRandom

from figdoor_gateway.clock import BootClock
from figdoor_gateway.settings import Settings
from figdoor_kernel import (
    AvailabilityZoneName,
    Extension,
    Node,
    NodeId,
    Options,
    Registry,
)


def build_node(settings: Settings, registry: Registry) -> Node:
    """Return a node with all its parts built and none started."""
    node = Node(
        NodeId(settings.node_id),
        AvailabilityZoneName(settings.availability_zone),
        BootClock(),
        SystemRandom(),
        registry,
        Options(
            chooser=settings.chooser,
            vm_list_lag_ms=settings.vm_list_lag_ms,
        ),
        settings,
    )
    for extension in (
        Extension.SERVICE,
        Extension.FRONT_END,
        Extension.OPERATOR_PAGE,
    ):
        node.parts(extension)
    return node
