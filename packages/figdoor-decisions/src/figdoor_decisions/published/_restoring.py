"""What holds after the store came back from an older copy."""

from collections.abc import Mapping
from dataclasses import replace

from figdoor_kernel import (
    AvailabilityZoneName,
    Node,
    Service,
    StoreRestored,
    Tables,
    TablesAccepted,
    Vm,
    VmId,
)

# The store removes the entry of a silent worker after three heartbeats, so the
# worker of an entry that is still there sends them.
WORKER_HOLD_MS = 10_000.0
# Operators write again what the store has lost. Without a bound, a zone whose
# evacuation nobody remembers would stay out of use.
EVACUATION_HOLD_MS = 60_000.0
# The copy is some seconds old, in which few workers leave.
MAX_DEPARTED = 1024


class RestoredStore(Service):
    """Keeps the stricter of what a copy shows and what this node knows.

    A worker that was draining or gone, an evacuation, and a newer version of
    the configuration may be missing in the copy until somebody writes them
    again. Each has another sign of being newer than what was known, since
    revisions say nothing:

    - A worker counts its own statements. One that this node knows already
      changes nothing, also the end of a cold start that it states; a later
      one ends the hold. If there is none, it ends after ``WORKER_HOLD_MS``.
    - An evacuation has its key only. The hold ends when the key is there
      again, or after ``EVACUATION_HOLD_MS``.
    - The operator numbers the configurations. A lower version never comes into
      force in a process that had a higher one.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to the return of the store and to accepted tables."""
        self._restored_ms = float('-inf')
        self._listed: Mapping[VmId, Vm] = {}
        # Workers whose entries were removed, each as it was listed last.
        self._departed: dict[VmId, Vm] = {}
        self._tables: Tables | None = None
        self._lost_zones: frozenset[AvailabilityZoneName] = frozenset()
        node.events.subscribe(StoreRestored, self._on_restored)
        node.events.subscribe(TablesAccepted, self._on_tables)

    def holds_workers(self, now_ms: float) -> bool:
        """Return whether entries of the copy may be out of date."""
        return now_ms - self._restored_ms <= WORKER_HOLD_MS

    def holds_zones(self, now_ms: float) -> bool:
        """Return whether evacuations that the store has lost are in force."""
        is_held = now_ms - self._restored_ms <= EVACUATION_HOLD_MS
        return is_held and bool(self._lost_zones)

    def upstreams(self, vms: tuple[Vm, ...], now_ms: float) -> tuple[Vm, ...]:
        """Return the listed workers, without those known to be gone."""
        if not self.holds_workers(now_ms):
            self._record_departures(vms)
            return vms
        held = (self._known_state(vm) for vm in vms)
        kept = tuple(vm for vm in held if vm is not None)
        self._record_departures(kept)
        return kept

    def merge(self, tables: Tables, now_ms: float) -> Tables:
        """Return tables that go back neither in version nor in evacuations."""
        current = self._tables
        self._lost_zones -= tables.evacuated
        if current is not None and _is_older(tables, current):
            tables = replace(current, evacuated=tables.evacuated)
        if self.holds_zones(now_ms):
            evacuated = tables.evacuated | self._lost_zones
            return replace(tables, evacuated=evacuated)
        return tables

    def _known_state(self, vm: Vm) -> Vm | None:
        """Return the worker as this node knows it, ``None`` if it is gone."""
        departed = self._departed.get(vm.vm_id)
        if departed is not None and vm.statement <= departed.statement:
            return None
        listed = self._listed.get(vm.vm_id)
        if listed is not None and vm.statement <= listed.statement:
            return listed
        return vm

    def _record_departures(self, vms: tuple[Vm, ...]) -> None:
        listed = {vm.vm_id: vm for vm in vms}
        for vm_id, vm in self._listed.items():
            if vm_id not in listed:
                self._departed[vm_id] = vm
        for vm_id in listed:
            self._departed.pop(vm_id, None)
        while len(self._departed) > MAX_DEPARTED:
            self._departed.pop(next(iter(self._departed)))
        self._listed = listed

    def _on_restored(self, event: StoreRestored) -> None:
        self._restored_ms = event.now_ms
        if self._tables is not None:
            self._lost_zones = self._tables.evacuated

    def _on_tables(self, event: TablesAccepted) -> None:
        self._tables = event.tables


def _is_older(tables: Tables, current: Tables) -> bool:
    """Return whether a copy brought back an older configuration."""
    return tables.era > current.era and tables.version < current.version
