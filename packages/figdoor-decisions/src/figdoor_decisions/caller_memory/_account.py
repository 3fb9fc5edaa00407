"""Account of the bytes that a node holds for its callers."""

from figdoor_decisions.caller_memory._budget import (
    CONNECTION_BYTES,
    SMALL_BYTES,
    CallerBudget,
    caller_budget,
)
from figdoor_kernel import CallerId, Node, Service, SettingsChanged

# Evictions go down to this share of the limit, so that a crowd that keeps
# sending does not make the node compare all callers at each read.
LOW_SHARE = 0.75


class CallerAccount(Service):
    """Adds up what the open connections of callers hold.

    A front end records each connection whenever its bytes may have grown.
    """

    def __init__(self, node: Node) -> None:
        """Take the limits from the options of the node."""
        self._node = node
        self._held: dict[CallerId, int] = {}
        self._held_bytes = 0
        self._budget = CallerBudget()
        self._update_budget()
        node.events.subscribe(SettingsChanged, self._on_settings)

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._held)

    @property
    def total_bytes(self) -> int:
        """Bytes held for all callers."""
        return self._held_bytes + CONNECTION_BYTES * len(self._held)

    @property
    def excess_bytes(self) -> float:
        """Bytes to free, 0 while the limit is kept."""
        total_bytes = self.total_bytes
        max_bytes = self._budget.max_bytes
        if total_bytes <= max_bytes:
            return 0
        return total_bytes - LOW_SHARE * max_bytes

    @property
    def is_full(self) -> bool:
        """Whether the number of connections is at its limit."""
        return len(self._held) >= self._budget.max_connections

    @property
    def budget(self) -> CallerBudget:
        """The budget in force."""
        return self._budget

    def record(self, caller: CallerId, held_bytes: int) -> None:
        """Set what a connection holds; ``CONNECTION_BYTES`` cover a little."""
        large_bytes = max(0, held_bytes - SMALL_BYTES)
        self._held_bytes += large_bytes - self._held.get(caller, 0)
        self._held[caller] = large_bytes

    def remove(self, caller: CallerId) -> None:
        """Remove a closed connection."""
        self._held_bytes -= self._held.pop(caller, 0)

    def _on_settings(self, event: SettingsChanged) -> None:
        self._update_budget()

    def _update_budget(self) -> None:
        options = self._node.options
        self._budget = caller_budget(options.memory_bytes, options.descriptors)
