"""Exponential back-off for upstreams."""

from dataclasses import dataclass

from figdoor_kernel import ALLOW, DENY, Node, UpstreamId, Verdict, VmListChanged

INITIAL_MS = 100.0
MAX_MS = 1000.0


@dataclass(slots=True)
class _Backoff:
    """Length and end of the last back-off of one upstream."""

    length_ms: float = 0
    until_ms: float = float('-inf')


class Backoffs:
    """A back-off for each upstream that doubles each time, up to a second."""

    def __init__(self, node: Node) -> None:
        """Start without any back-off and subscribe to the VM list."""
        self._fleet = node.fleet
        self._by_id: dict[UpstreamId, _Backoff] = {}
        node.events.subscribe(VmListChanged, self._on_vm_list)

    def evaluate(self, upstream_id: UpstreamId, now_ms: float) -> Verdict:
        """Deny while the back-off lasts."""
        backoff = self._by_id.get(upstream_id)
        if backoff is None or now_ms >= backoff.until_ms:
            return ALLOW
        return DENY

    def begin(self, upstream_id: UpstreamId, now_ms: float) -> None:
        """Begin a back-off that is twice as long as the last one.

        A failure during a back-off does not extend it, since its attempt was
        already in flight when the back-off began.
        """
        backoff = self._by_id.setdefault(upstream_id, _Backoff())
        if now_ms >= backoff.until_ms:
            backoff.length_ms = min(
                MAX_MS, max(INITIAL_MS, 2 * backoff.length_ms)
            )
            backoff.until_ms = now_ms + backoff.length_ms

    def reset(self, upstream_id: UpstreamId) -> None:
        """End the back-off; the next one has the initial length again."""
        self._by_id.pop(upstream_id, None)

    def _on_vm_list(self, event: VmListChanged) -> None:
        self._fleet.drop_unlisted(self._by_id)
