"""Converts rows of the VM list to and from Cap'n Proto."""

from typing import Any

from figdoor_gateway.peers._schema import MalformedMessage
from figdoor_kernel import (
    AvailabilityZoneName,
    ServiceName,
    Vm,
    VmId,
    VmState,
)

MAX_TEXT_LENGTH = 128


def checked_text(text: str) -> str:
    """Return the text; raises ``MalformedMessage`` if it is too long."""
    if len(text) > MAX_TEXT_LENGTH:
        raise MalformedMessage('text is too long')
    return text


def encode_vm(vm: Vm) -> dict[str, Any]:
    """Return the fields of a row by their names in the schema."""
    return {
        'id': vm.vm_id,
        'service': vm.service,
        'availabilityZone': vm.availability_zone,
        'host': vm.host,
        'port': vm.port,
        'state': vm.state.value,
    }


def decode_vm(row: Any) -> Vm:
    """Return the row; raises ``MalformedMessage`` or ``ValueError``."""
    return Vm(
        VmId(checked_text(row.id)),
        ServiceName(checked_text(row.service)),
        AvailabilityZoneName(checked_text(row.availabilityZone)),
        checked_text(row.host),
        row.port,
        VmState(row.state),
    )
