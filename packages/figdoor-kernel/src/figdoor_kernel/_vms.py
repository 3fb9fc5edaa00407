"""The platform's VM list as typed values."""

from dataclasses import dataclass

from figdoor_kernel._ids import (
    AvailabilityZoneName,
    InstanceId,
    ServiceName,
    VmId,
)
from figdoor_kernel._states import VmState

FIGDOOR_SERVICE = ServiceName('figdoor')


@dataclass(frozen=True, slots=True)
class Vm:
    """One VM: a worker of a service, or a figdoor node.

    ``instance`` identifies the current run of its process, if the platform
    publishes it. ``slots`` is the number of requests that it runs at once.
    The VM is in a cold start until ``warm_at_ms`` on the node's clock.
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


@dataclass(frozen=True, slots=True)
class VmList:
    """The VM list as last read; it may be out of date."""

    vms: tuple[Vm, ...] = ()

    def of_service(self, service: ServiceName) -> tuple[Vm, ...]:
        """Return the VMs of one service, in list order."""
        return tuple(vm for vm in self.vms if vm.service == service)
