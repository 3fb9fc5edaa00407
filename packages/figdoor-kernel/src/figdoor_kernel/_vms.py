"""The platform's VM list as typed values."""

from dataclasses import dataclass, field

from figdoor_kernel._ids import (
    AvailabilityZoneName,
    InstanceId,
    ServiceName,
    VmId,
)
from figdoor_kernel._states import VmState

FIGDOOR_SERVICE = ServiceName('figdoor')


@dataclass(frozen=True, order=True, slots=True)
class VmStatement:
    """Orders what a VM says of itself, whatever the store has lost since.

    ``started_at_ms`` is the Unix time of its start, 0 if it does not state
    one, and ``sequence`` counts what it has said since then.
    """

    started_at_ms: int = 0
    sequence: int = 0


@dataclass(frozen=True, slots=True)
class Vm:
    """One VM: a worker of a service, or a figdoor node.

    ``instance`` identifies the current run of its process, if the platform
    publishes it. ``slots`` is the number of requests that it runs at once.
    The VM is in a cold start until ``warm_at_ms`` on the node's clock.
    ``statement`` tells which of two descriptions of a VM is the newer one.
    """

    vm_id: VmId
    service: ServiceName
    availability_zone: AvailabilityZoneName
    host: str
    port: int
    state: VmState = VmState.LIVE
    instance: InstanceId = InstanceId('')
    slots: int = 0
    warm_at_ms: float = 0
    statement: VmStatement = field(default=VmStatement(), compare=False)


@dataclass(frozen=True, slots=True)
class VmList:
    """The VM list as last read; it may be out of date."""

    vms: tuple[Vm, ...] = ()

    def of_service(self, service: ServiceName) -> tuple[Vm, ...]:
        """Return the VMs of one service, in list order."""
        return tuple(vm for vm in self.vms if vm.service == service)
