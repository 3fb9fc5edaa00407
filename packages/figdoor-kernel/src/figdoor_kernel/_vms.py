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
    """One VM: a worker of a service, or a node of figdoor itself.

    ``instance`` names its present start, where the platform tells it, and
    ``slots`` the requests that it runs at once. It is in a cold start until
    ``warm_at_ms`` on the node's clock.
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
    """The VM list as last read; it lags behind reality."""

    vms: tuple[Vm, ...] = ()

    def of_service(self, service: ServiceName) -> tuple[Vm, ...]:
        """Return the VMs of one service in the order of the list."""
        return tuple(vm for vm in self.vms if vm.service == service)
