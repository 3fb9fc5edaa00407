"""Which upstreams a probe would tell something new about."""

from figdoor_kernel import (
    Node,
    Upstream,
    UpstreamId,
    UpstreamState,
    UpstreamStateChanged,
    VmListChanged,
    VmState,
)

OLD_REPORT_MS = 1000.0
_NOT_WORTH = frozenset((UpstreamState.DRAINING, UpstreamState.GONE))


class Worth:
    """Judges upstreams by their last report and state.

    An upstream that has requests of this node in flight reports on its
    answers, which costs nothing.
    """

    def __init__(self, node: Node) -> None:
        """Follow the states of upstreams."""
        self._fleet = node.fleet
        self._states: dict[UpstreamId, UpstreamState] = {}
        node.events.subscribe(UpstreamStateChanged, self._on_state)
        node.events.subscribe(VmListChanged, self._on_vm_list)

    def is_worth(self, upstream: Upstream, now_ms: float) -> bool:
        """Return whether state and load of an upstream are unknown.

        A serving upstream is worth a probe once its report is old: while the
        platform is down, only a report tells that it has begun to leave.
        """
        if upstream.in_flight or upstream.vm_state is not VmState.LIVE:
            return False
        if self._states.get(upstream.upstream_id) in _NOT_WORTH:
            return False
        if upstream.report is None:
            return True
        return now_ms - upstream.report_at_ms > OLD_REPORT_MS

    def _on_state(self, event: UpstreamStateChanged) -> None:
        self._states[event.upstream] = event.state

    def _on_vm_list(self, event: VmListChanged) -> None:
        self._fleet.drop_unlisted(self._states)
