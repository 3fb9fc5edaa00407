"""Leaves upstreams alone that take no connections."""

from figdoor_decisions.outliers._backoff import Backoff
from figdoor_kernel import (
    AttemptEnded,
    AttemptState,
    CandidateRule,
    Node,
    RoutedCall,
    Upstream,
    UpstreamId,
    Verdict,
    VmListChanged,
)


class RefusedConnections(CandidateRule):
    """Denies upstreams that refused a connection, for a while.

    The VM list shows a dead upstream for seconds. Its home node went on
    trying it, each try spent a retry, and beyond the retry budget calls were
    refused that other upstreams could have run. The back-off is 100 ms and
    doubles with each refusal, up to a second. Nothing that connects is kept
    out by it, so it needs no limit as ejections do.
    """

    def __init__(self, node: Node) -> None:
        """Follow own attempts and the VM list."""
        self._backoffs: dict[UpstreamId, Backoff] = {}
        node.events.subscribe(AttemptEnded, self._on_ended)
        node.events.subscribe(VmListChanged, self._on_vm_list)

    def judge(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        now_ms: float,
    ) -> Verdict:
        """Deny while the upstream is left alone."""
        found = self._backoffs.get(upstream.upstream_id)
        if found is None or found.is_over(now_ms):
            return Verdict.ALLOW
        return Verdict.DENY

    def _on_ended(self, event: AttemptEnded) -> None:
        if event.state is not AttemptState.UNSENT_FAILURE:
            self._backoffs.pop(event.upstream, None)
        elif event.connection_died:
            found = self._backoffs.setdefault(event.upstream, Backoff())
            # Attempts that were refused together count once.
            if found.is_over(event.now_ms):
                found.extend(event.now_ms)

    def _on_vm_list(self, event: VmListChanged) -> None:
        listed = {UpstreamId(vm.vm_id) for vm in event.vm_list.vms}
        for gone in self._backoffs.keys() - listed:
            self._backoffs.pop(gone)
