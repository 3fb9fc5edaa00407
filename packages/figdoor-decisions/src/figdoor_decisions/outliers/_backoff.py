"""Which upstreams a node leaves alone, and for how long."""

from dataclasses import dataclass

from figdoor_kernel import ALLOW, DENY, Node, UpstreamId, Verdict, VmListChanged

FIRST_MS = 100.0
MAX_MS = 1000.0


@dataclass(slots=True)
class _Backoff:
    """The last length and end of one upstream's time."""

    length_ms: float = 0
    until_ms: float = float('-inf')


class Backoffs:
    """A time for each upstream that doubles each time, up to a second."""

    def __init__(self, node: Node) -> None:
        """Leave none alone and follow the VM list."""
        self._fleet = node.fleet
        self._by_id: dict[UpstreamId, _Backoff] = {}
        node.events.subscribe(VmListChanged, self._on_vm_list)

    def evaluate(self, upstream_id: UpstreamId, now_ms: float) -> Verdict:
        """Deny while the upstream is left alone."""
        found = self._by_id.get(upstream_id)
        if found is None or now_ms >= found.until_ms:
            return ALLOW
        return DENY

    def extend(self, upstream_id: UpstreamId, now_ms: float) -> None:
        """Leave the upstream alone, for twice as long as the last time.

        What was under way when its time began does not lengthen it.
        """
        found = self._by_id.setdefault(upstream_id, _Backoff())
        if now_ms >= found.until_ms:
            found.length_ms = min(MAX_MS, max(FIRST_MS, 2 * found.length_ms))
            found.until_ms = now_ms + found.length_ms

    def forget(self, upstream_id: UpstreamId) -> None:
        """Use the upstream again, and begin anew the next time."""
        self._by_id.pop(upstream_id, None)

    def _on_vm_list(self, event: VmListChanged) -> None:
        self._fleet.drop_unlisted(self._by_id)
