"""Row differences between two versions of the VM list."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from figdoor_kernel import Vm, VmId, VmList, VmListDifference

# Eight rows with names of usual length fit into a datagram of 1,200 bytes. If
# more than 128 rows change at once, the list is read whole: the loss of an
# availability zone is rare, and its rows would fill the buffers of the peers.
ROWS_PER_PART = 8
MAX_PARTS = 16
_MASK = (1 << 64) - 1


@dataclass(frozen=True, slots=True)
class VmListSnapshot:
    """The VM list as of one version of the platform."""

    version: str
    vm_list: VmList
    checksum: int

    @property
    def version_hash(self) -> int:
        """The hash of the version, by which peers identify it."""
        return stable_hash(self.version)


def stable_hash(text: str) -> int:
    """Return a hash of a text that is the same on every node."""
    return xxh3_64_intdigest(text.encode())


def checksum_of(vms: Iterable[Vm]) -> int:
    """Return a checksum that does not depend on the order of the rows."""
    return sum(map(_row_hash, vms)) & _MASK


def differences_between(
    old: VmListSnapshot, new: VmListSnapshot
) -> tuple[VmListDifference, ...]:
    """Return the parts that lead from the old version to the new one.

    The result is empty if there would be too many parts, or if the new list
    contains a VM twice. The versions between two parts are hashes that are
    derived from both versions and do not occur at the platform.
    """
    old_rows = {vm.vm_id: vm for vm in old.vm_list.vms}
    new_rows = {vm.vm_id: vm for vm in new.vm_list.vms}
    is_ambiguous = len(new_rows) != len(new.vm_list.vms)
    changed = [
        vm_id
        for vm_id in (*old_rows, *(new_rows.keys() - old_rows.keys()))
        if old_rows.get(vm_id) != new_rows.get(vm_id)
    ]
    if is_ambiguous or len(changed) > MAX_PARTS * ROWS_PER_PART:
        return ()
    # One part without rows leads to a new version of the same rows.
    starts = range(0, max(1, len(changed)), ROWS_PER_PART)
    chunks = [changed[start : start + ROWS_PER_PART] for start in starts]
    return tuple(_parts(old, new, old_rows, new_rows, chunks))


def apply_differences(
    vms: Iterable[Vm],
    checksum: int,
    parts: Iterable[VmListDifference],
) -> tuple[tuple[Vm, ...], int] | None:
    """Return the rows and the checksum after all parts.

    Returns ``None`` if a checksum shows that the parts do not fit the rows.
    """
    rows = {vm.vm_id: vm for vm in vms}
    for part in parts:
        for vm_id in part.removed:
            checksum -= _hash_or_zero(rows, vm_id)
            rows.pop(vm_id, None)
        for vm in part.listed:
            checksum += _row_hash(vm) - _hash_or_zero(rows, vm.vm_id)
            rows[vm.vm_id] = vm
        checksum &= _MASK
        if checksum != part.checksum:
            return None
    return tuple(rows.values()), checksum


def _parts(
    old: VmListSnapshot,
    new: VmListSnapshot,
    old_rows: dict[VmId, Vm],
    new_rows: dict[VmId, Vm],
    chunks: Sequence[Sequence[VmId]],
) -> Iterator[VmListDifference]:
    base = old.version_hash
    checksum = old.checksum
    for remaining, chunk in zip(
        reversed(range(len(chunks))), chunks, strict=True
    ):
        listed = tuple(new_rows[vm_id] for vm_id in chunk if vm_id in new_rows)
        removed = tuple(vm_id for vm_id in chunk if vm_id not in new_rows)
        checksum += sum(_hash_or_zero(new_rows, vm_id) for vm_id in chunk)
        checksum -= sum(_hash_or_zero(old_rows, vm_id) for vm_id in chunk)
        checksum &= _MASK
        target = new.version_hash
        if remaining:
            target = stable_hash(f'{old.version} {new.version} {remaining}')
        yield VmListDifference(base, target, checksum, removed, listed)
        base = target


def _hash_or_zero(rows: dict[VmId, Vm], vm_id: VmId) -> int:
    vm = rows.get(vm_id)
    return _row_hash(vm) if vm else 0


def _row_hash(vm: Vm) -> int:
    cells = (
        vm.vm_id,
        vm.service,
        vm.availability_zone,
        vm.host,
        str(vm.port),
        vm.state.value,
    )
    return stable_hash('\n'.join(cells))
