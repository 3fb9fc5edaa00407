"""Keeps the VM list at the version that the platform has."""

from enum import Enum, unique

from figdoor_decisions.listing._differences import (
    VmListSnapshot,
    apply_differences,
    checksum_of,
    differences_between,
    stable_hash,
)
from figdoor_decisions.listing._history import DifferenceHistory
from figdoor_decisions.reading import ReadingPlan
from figdoor_kernel import (
    BroadcastRequested,
    Extension,
    Node,
    Service,
    UpdateReceived,
    VmList,
    VmListChanged,
    VmListDifference,
)

# Up to this length a whole list has at most about 70 KB. So few VMs change so
# seldom that whole reads cost less than 0.4 KB/s.
SMALL_LIST_ROWS = 500
# Number of nodes that read a new version whole without waiting for differences;
# they are chosen by a hash, differently for each version.
READERS_PER_VERSION = 16
# The other nodes wait for differences. Their time-outs are spread, so that a
# whole read of the first one provides the rest with differences.
MIN_WAIT_MS = 250
WAIT_SPREAD_MS = 350
# Differences to a target version of this age are not applied: the node may have
# been paused since it learned of that version.
MAX_WAIT_MS = 1000
_HASH_RANGE = 1 << 64


@unique
class VmListRead(Enum):
    """Read the whole list, or check only which version the platform has."""

    WHOLE = 'whole'
    CHECK = 'check'


class VmLists(Service):
    """Keeps the list in use, always a version that the platform returned.

    The node asks the platform only for the version, and gets to that version by
    differences from peers that read the whole list. Differences never decide
    which version is in use: if a peer reads a lagging or wrong list, no VM that
    this node knows to be leaving becomes live again.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to updates of peers."""
        self._node = node
        self._plan: ReadingPlan = node.part(Extension.SERVICE, 'reading-plan')
        self._history = DifferenceHistory()
        self._current: VmListSnapshot | None = None
        self._target_version = ''
        self._target_since_ms: float = 0
        self._has_versions = True
        node.events.subscribe(UpdateReceived, self._on_update)

    @property
    def version(self) -> str:
        """The platform's version of the list in use, empty if unknown."""
        return self._current.version if self._current else ''

    def next_read(self, now_ms: float) -> VmListRead | None:
        """Return the read to start now; call it only while no read runs."""
        if self._target_version:
            if now_ms - self._target_since_ms < self._difference_wait_ms():
                return None
            self._target_version = ''
            self._plan.record_followup_read(now_ms)
            return VmListRead.WHOLE
        if not self._plan.may_read_vm_list(now_ms):
            return None
        return VmListRead.CHECK if self._may_check() else VmListRead.WHOLE

    def receive_list(
        self, version: str, vm_list: VmList, now_ms: float
    ) -> None:
        """Use a whole list that was read, and broadcast the differences."""
        previous = self._current
        checksum = checksum_of(vm_list.vms) if version else 0
        self._current = VmListSnapshot(version, vm_list, checksum)
        self._publish(now_ms)
        is_small = len(vm_list.vms) <= SMALL_LIST_ROWS
        if previous is None or not previous.version or not version or is_small:
            return
        for part in differences_between(previous, self._current):
            if self._history.add(part):
                self._node.events.publish(BroadcastRequested(part, now_ms))

    def receive_unchanged(self, now_ms: float) -> None:
        """Publish the list in use again: the platform has not changed it."""
        self._target_version = ''
        if self._current is not None:
            self._publish(now_ms)

    def receive_version(self, version: str, now_ms: float) -> None:
        """Switch to a version as soon as the differences to it are known."""
        if version == self.version:
            # The platform may ignore the condition of a request.
            self.receive_unchanged(now_ms)
            return
        if not version:
            self.stop_version_checks()
        self._target_version = version
        self._target_since_ms = now_ms
        self._apply_history(now_ms)

    def stop_version_checks(self) -> None:
        """Read only whole lists from now on: the platform has no versions."""
        self._has_versions = False

    def _may_check(self) -> bool:
        current = self._current
        if current is None or not current.version or not self._has_versions:
            return False
        return len(current.vm_list.vms) > SMALL_LIST_ROWS

    def _difference_wait_ms(self) -> float:
        """Return how long to wait for differences to the target version."""
        fraction = (
            stable_hash(f'{self._node.node_id} {self._target_version}')
            / _HASH_RANGE
        )
        node_count = max(1, len(self._node.fleet.nodes()))
        if fraction * node_count < READERS_PER_VERSION:
            return 0
        return MIN_WAIT_MS + WAIT_SPREAD_MS * fraction

    def _on_update(self, event: UpdateReceived) -> None:
        if isinstance(event.update, VmListDifference):
            self._history.add(event.update)
            self._apply_history(event.now_ms)

    def _apply_history(self, now_ms: float) -> None:
        current = self._current
        if current is None or not self._target_version:
            return
        if now_ms - self._target_since_ms > MAX_WAIT_MS:
            return
        path = self._history.find_path(
            current.version_hash, stable_hash(self._target_version)
        )
        if not path:
            return
        applied = apply_differences(current.vm_list.vms, current.checksum, path)
        if applied is None:
            self._history.discard(path)
            return
        vms, checksum = applied
        self._current = VmListSnapshot(
            self._target_version, VmList(vms), checksum
        )
        self._target_version = ''
        self._publish(now_ms)

    def _publish(self, now_ms: float) -> None:
        if self._current is not None:
            changed = VmListChanged(self._current.vm_list, now_ms)
            self._node.events.publish(changed)
