"""Builds a node from its settings and the installed plug-ins."""

import os
import resource
from random import Random, SystemRandom

from figdoor_gateway.clock import BootClock
from figdoor_gateway.settings import Settings
from figdoor_kernel import (
    AvailabilityZoneName,
    Extension,
    Node,
    NodeId,
    Options,
    OverloadControl,
    Registry,
)
from figdoor_traces import SEED_BITS, TraceRandom

# Time for a node to abort its requests, log them and exit.
EXIT_TIME_MS = 400.0
_BYTES_PER_MB = 1024 * 1024


def build_node(settings: Settings, registry: Registry) -> Node:
    """Return a node whose parts are built but not started."""
    node = Node(
        NodeId(settings.node_id),
        AvailabilityZoneName(settings.availability_zone),
        BootClock(),
        _make_random(settings),
        registry,
        make_options(settings),
        settings,
    )
    for extension in (
        Extension.SERVICE,
        Extension.PEER_TRANSPORT,
        Extension.FRONT_END,
        Extension.OPERATOR_PAGE,
    ):
        node.parts(extension)
    return node


def make_options(settings: Settings) -> Options:
    """Return the settings that the decision plug-ins use."""
    return Options(
        chooser=settings.chooser,
        vm_list_lag_ms=settings.vm_list_lag_ms,
        fleet_nodes=int(settings.fleet_nodes),
        retry_budget_percent=settings.retry_budget_percent,
        retry_budget_burst=settings.retry_budget_burst,
        retry_budget_window_ms=settings.retry_budget_window_ms,
        probes_per_s=settings.probes_per_s,
        quarantine_deaths=int(settings.quarantine_deaths),
        retry_failed_answers=settings.retry_failed_answers,
        overload_control=OverloadControl(settings.overload_control),
        stop_limit_ms=_stop_limit_ms(settings),
        memory_bytes=_memory_bytes(settings),
        descriptors=_descriptors(settings),
        seeds=tuple(map(str, settings.seeds)),
        peer_address=str(settings.peer_listen),
        allowance_window_ms=settings.allowance_window_ms,
        allowance_overage=settings.allowance_overage,
        allowance_tolerance=settings.allowance_tolerance,
    )


def _stop_limit_ms(settings: Settings) -> float:
    """Return how long a stop may take, so that it ends before a kill."""
    if not settings.kill_after_ms:
        return settings.stop_limit_ms
    return max(1, settings.kill_after_ms - EXIT_TIME_MS)


def _memory_bytes(settings: Settings) -> float:
    """Return the memory limit, by default the memory of the machine."""
    if settings.memory_limit_mb:
        return settings.memory_limit_mb * _BYTES_PER_MB
    return os.sysconf('SC_PHYS_PAGES') * os.sysconf('SC_PAGE_SIZE')


def _descriptors(settings: Settings) -> float:
    """Return the limit of descriptors, by default that of the system."""
    if settings.file_limit:
        return settings.file_limit
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return max(0, soft_limit)


def _make_random(settings: Settings) -> Random:
    """Return random numbers, repeatable by a replay if a trace is recorded."""
    random = SystemRandom()
    if settings.trace_file:
        return TraceRandom(random.getrandbits(SEED_BITS))
    return random
