"""Decides which upstreams need a probe."""

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
_NEVER_PROBED = frozenset((UpstreamState.DRAINING, UpstreamState.GONE))


class ProbeNeed:
    """Decides by the last report and the state of an upstream.

    An upstream with requests of this node in flight needs no probe, because
    its answers carry load reports.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to the states of upstreams and the VM list."""
        self._fleet = node.fleet
        self._states: dict[UpstreamId, UpstreamState] = {}
        node.events.subscribe(UpstreamStateChanged, self._on_state)
        node.events.subscribe(VmListChanged, self._on_vm_list)

    def needs_probe(self, upstream: Upstream, now_ms: float) -> bool:
        """Return whether the state or load of an upstream is not known.

        A serving upstream needs a probe once its report is old: while the
        platform is down, only a report shows that the upstream is draining.
        """
        if upstream.in_flight or upstream.vm_state is not VmState.LIVE:
            return False
        if self._states.get(upstream.upstream_id) in _NEVER_PROBED:
            return False
        if upstream.report is None:
            return True
        return now_ms - upstream.report_at_ms > OLD_REPORT_MS

    def _on_state(self, event: UpstreamStateChanged) -> None:
        self._states[event.upstream] = event.state

    def _on_vm_list(self, event: VmListChanged) -> None:
        self._fleet.drop_unlisted(self._states)
