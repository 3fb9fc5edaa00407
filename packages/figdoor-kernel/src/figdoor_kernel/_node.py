"""The context that all parts of a node share."""

from dataclasses import dataclass, field
from random import Random
from typing import Any

from figdoor_kernel._event_bus import EventBus
from figdoor_kernel._events import TablesAccepted
from figdoor_kernel._fleet import Fleet
from figdoor_kernel._ids import AvailabilityZoneName, NodeId, Revision
from figdoor_kernel._protocols import Clock
from figdoor_kernel._registry import Extension, Registry
from figdoor_kernel._states import OverloadControl, RequestSize
from figdoor_kernel._tables import Tables


@dataclass(frozen=True, slots=True)
class Options:
    """Options of the decisions; the gateway sets them from its flags."""

    chooser: str = 'adaptive'
    lease_ms: float = 2000
    heartbeat_ms: float = 500
    join_timeout_ms: float = 3000
    vm_list_lag_ms: float = 5000
    subset_size: int = 20
    config_reads_per_s: float = 200
    quarantine_ms: float = 60_000
    quarantine_deaths: int = 2
    evidence_ms: float = 30_000
    fleet_nodes: int = 32
    retry_budget_percent: float = 20
    retry_budget_burst: float = 60
    retry_budget_window_ms: float = 10_000
    probes_per_s: float = 60
    stop_limit_ms: float = 0
    retry_failed_answers: bool = False
    overload_control: OverloadControl = OverloadControl.NO
    memory_bytes: float = 0
    descriptors: float = 0
    seeds: tuple[str, ...] = ()
    peer_address: str = ''
    allowance_window_ms: float = 5000
    allowance_overage: float = 0.25
    allowance_tolerance: float = 20


@dataclass(slots=True)
class Node:
    """The context that is passed to every factory.

    A part is built on first use and then kept, so parts can be registered in
    any order. Two parts must not use each other in their constructors.
    ``settings`` are those of the gateway; decisions only use ``options``.
    """

    node_id: NodeId
    availability_zone: AvailabilityZoneName
    clock: Clock
    random: Random
    registry: Registry
    options: Options = field(default_factory=Options)
    settings: Any = None
    events: EventBus = field(default_factory=EventBus)
    fleet: Fleet = field(init=False)
    tables: Tables | None = None
    _has_large_requests: bool = False
    _parts: dict[tuple[Extension, str], Any] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Create the fleet and subscribe to accepted tables."""
        self.fleet = Fleet(self.events)
        self.events.subscribe(TablesAccepted, self._on_tables)

    @property
    def revision(self) -> Revision:
        """The revision of the tables in force, 0 if there are none yet."""
        return self.tables.revision if self.tables else Revision(0)

    @property
    def has_overload_control(self) -> bool:
        """Whether the option and the tables in force ask for it."""
        control = self.options.overload_control
        if control is OverloadControl.LARGE_REQUESTS:
            return self._has_large_requests
        return control is OverloadControl.YES

    def part(self, extension: Extension, name: str) -> Any:
        """Return a part by its name; build it on first use."""
        key = (extension, name)
        if key not in self._parts:
            factory = self.registry.factory(extension, name)
            self._parts[key] = factory(self)
        return self._parts[key]

    def parts(self, extension: Extension) -> tuple[Any, ...]:
        """Return all parts at an extension point, in registration order."""
        names = self.registry.names(extension)
        return tuple(self.part(extension, name) for name in names)

    def _on_tables(self, event: TablesAccepted) -> None:
        self.tables = event.tables
        self._has_large_requests = any(
            route.request_size is RequestSize.LARGE
            for route in event.tables.routes
        )
