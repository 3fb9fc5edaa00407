"""Follows the VM list by its versions at the platform."""

from enum import Enum, unique

from figdoor_decisions.listing._differences import (
    Version,
    applied,
    checksum_of,
    difference,
    hash_of,
)
from figdoor_decisions.listing._history import History
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

# Below this length a whole list has at most some 70 KB, and with the rate of
# changes of so few VMs whole reads cost less than 0.4 KB/s.
SMALL_LIST_ROWS = 500
# So many nodes, drawn anew for each version, read it whole at once.
READERS_PER_VERSION = 16
# The others wait for a difference. They give up at different times, so that
# the first ones spare the rest a whole read.
MIN_WAIT_MS = 250
WAIT_SPREAD_MS = 350
# A version that was seen this long ago may be from before a pause.
MAX_WAIT_MS = 1000
_HASH_RANGE = 1 << 64


@unique
class VmListRead(Enum):
    """What to ask the platform."""

    WHOLE = 'whole'
    CHECK = 'check'


class VmLists(Service):
    """Has one list in use, which is always one that this node was shown.

    The node asks the platform for the version only, and goes to that version
    along differences that peers read. Differences of other nodes never
    decide which version is in use: a peer that reads a lagging or wrong list
    cannot bring a VM back that this node knows to be leaving.
    """

    def __init__(self, node: Node) -> None:
        """Follow the news."""
        self._node = node
        self._plan: ReadingPlan = node.part(Extension.SERVICE, 'reading-plan')
        self._history = History()
        self._current: Version | None = None
        self._wanted = ''
        self._wanted_at_ms: float = 0
        self._can_check = True
        node.events.subscribe(UpdateReceived, self._on_news)

    @property
    def mark(self) -> str:
        """The platform's mark of the list in use, empty for none."""
        return self._current.mark if self._current else ''

    def next_read(self, now_ms: float) -> VmListRead | None:
        """Return the read to start now; ask only while none is under way."""
        if self._wanted:
            if now_ms - self._wanted_at_ms < self._wait_ms():
                return None
            self._wanted = ''
            self._plan.note_second_read(now_ms)
            return VmListRead.WHOLE
        if not self._plan.may_read_vm_list(now_ms):
            return None
        return VmListRead.CHECK if self._may_check() else VmListRead.WHOLE

    def take_whole(self, mark: str, vm_list: VmList, now_ms: float) -> None:
        """Use a list that was read, and tell peers what is different."""
        old = self._current
        checksum = checksum_of(vm_list.vms) if mark else 0
        self._current = Version(mark, vm_list, checksum)
        self._publish(now_ms)
        is_small = len(vm_list.vms) <= SMALL_LIST_ROWS
        if old is None or not old.mark or not mark or is_small:
            return
        for part in difference(old, self._current):
            if self._history.add(part):
                self._node.events.publish(BroadcastRequested(part, now_ms))

    def take_unchanged(self, now_ms: float) -> None:
        """Note that the list in use is still the platform's."""
        self._wanted = ''
        if self._current is not None:
            self._publish(now_ms)

    def take_mark(self, mark: str, now_ms: float) -> None:
        """Go to another version, now or when the differences are there."""
        if mark == self.mark:
            # A platform may ignore the condition of the request.
            self.take_unchanged(now_ms)
            return
        if not mark:
            self.stop_checking()
        self._wanted = mark
        self._wanted_at_ms = now_ms
        self._follow(now_ms)

    def stop_checking(self) -> None:
        """Read whole lists from now on: the platform gives no marks."""
        self._can_check = False

    def _may_check(self) -> bool:
        current = self._current
        if current is None or not current.mark or not self._can_check:
            return False
        return len(current.vm_list.vms) > SMALL_LIST_ROWS

    def _wait_ms(self) -> float:
        """Return how long to wait for differences to the wanted version."""
        drawn = hash_of(f'{self._node.node_id} {self._wanted}') / _HASH_RANGE
        nodes = max(1, len(self._node.fleet.nodes()))
        if drawn * nodes < READERS_PER_VERSION:
            return 0
        return MIN_WAIT_MS + WAIT_SPREAD_MS * drawn

    def _on_news(self, event: UpdateReceived) -> None:
        if isinstance(event.update, VmListDifference):
            self._history.add(event.update)
            self._follow(event.now_ms)

    def _follow(self, now_ms: float) -> None:
        old = self._current
        if old is None or not self._wanted:
            return
        if now_ms - self._wanted_at_ms > MAX_WAIT_MS:
            return
        way = self._history.way(old.number, hash_of(self._wanted))
        if not way:
            return
        found = applied(old.vm_list.vms, old.checksum, way)
        if found is None:
            self._history.drop(way)
            return
        vms, checksum = found
        self._current = Version(self._wanted, VmList(vms), checksum)
        self._wanted = ''
        self._publish(now_ms)

    def _publish(self, now_ms: float) -> None:
        if self._current is not None:
            changed = VmListChanged(self._current.vm_list, now_ms)
            self._node.events.publish(changed)
