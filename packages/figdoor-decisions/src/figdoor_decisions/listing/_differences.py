"""Differences between two versions of the VM list, by rows."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from figdoor_kernel import Vm, VmId, VmList, VmListDifference

# Eight rows of usual names fit into a datagram of 1,200 bytes. More than
# 128 changed rows at once are read whole: an availability zone that goes is
# rare, and its rows would fill the peers' buffers.
ROWS_PER_PART = 8
MAX_PARTS = 16
_MASK = (1 << 64) - 1


@dataclass(frozen=True, slots=True)
class Version:
    """One version of the list: the platform's mark and what it stands for."""

    mark: str
    vm_list: VmList
    checksum: int

    @property
    def number(self) -> int:
        """The hash of the mark, as peers name it."""
        return hash_of(self.mark)


def hash_of(text: str) -> int:
    """Return the hash of a text, the same on every node."""
    return xxh3_64_intdigest(text.encode())


def checksum_of(vms: Iterable[Vm]) -> int:
    """Return a checksum that does not depend on the order of the rows."""
    return sum(map(_row_hash, vms)) & _MASK


def difference(old: Version, new: Version) -> tuple[VmListDifference, ...]:
    """Return the parts that lead from one version to the other.

    It is empty where the parts would be too many, or where a list names a VM
    twice. Versions between two parts get numbers that no platform gives.
    """
    before = {vm.vm_id: vm for vm in old.vm_list.vms}
    after = {vm.vm_id: vm for vm in new.vm_list.vms}
    is_ambiguous = len(after) != len(new.vm_list.vms)
    changed = [
        vm_id
        for vm_id in (*before, *(after.keys() - before.keys()))
        if before.get(vm_id) != after.get(vm_id)
    ]
    if is_ambiguous or len(changed) > MAX_PARTS * ROWS_PER_PART:
        return ()
    # Two versions of the same rows differ in nothing but their marks.
    starts = range(0, max(1, len(changed)), ROWS_PER_PART)
    chunks = [changed[start : start + ROWS_PER_PART] for start in starts]
    return tuple(_parts(old, new, before, after, chunks))


def applied(
    vms: Iterable[Vm],
    checksum: int,
    parts: Iterable[VmListDifference],
) -> tuple[tuple[Vm, ...], int] | None:
    """Return rows and checksum that the parts lead to.

    Returns ``None`` where a checksum shows that the parts do not fit.
    """
    rows = {vm.vm_id: vm for vm in vms}
    for part in parts:
        for vm_id in part.removed:
            checksum -= _hash_at(rows, vm_id)
            rows.pop(vm_id, None)
        for vm in part.listed:
            checksum += _row_hash(vm) - _hash_at(rows, vm.vm_id)
            rows[vm.vm_id] = vm
        checksum &= _MASK
        if checksum != part.checksum:
            return None
    return tuple(rows.values()), checksum


def _parts(
    old: Version,
    new: Version,
    before: dict[VmId, Vm],
    after: dict[VmId, Vm],
    chunks: Sequence[Sequence[VmId]],
) -> Iterator[VmListDifference]:
    base = old.number
    checksum = old.checksum
    for left, chunk in zip(reversed(range(len(chunks))), chunks, strict=True):
        listed = tuple(after[vm_id] for vm_id in chunk if vm_id in after)
        removed = tuple(vm_id for vm_id in chunk if vm_id not in after)
        checksum += sum(_hash_at(after, vm_id) for vm_id in chunk)
        checksum -= sum(_hash_at(before, vm_id) for vm_id in chunk)
        checksum &= _MASK
        target = new.number
        if left:
            target = hash_of(f'{old.mark} {new.mark} {left}')
        yield VmListDifference(base, target, checksum, removed, listed)
        base = target


def _hash_at(rows: dict[VmId, Vm], vm_id: VmId) -> int:
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
    return hash_of('\n'.join(cells))
