"""Leaves upstreams alone that take no connections."""

from figdoor_decisions.outliers._backoff import Backoffs
from figdoor_kernel import (
    AttemptEnded,
    AttemptState,
    CandidateRule,
    Node,
    RoutedCall,
    Upstream,
    Verdict,
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
        """Follow own attempts."""
        self._backoffs = Backoffs(node)
        node.events.subscribe(AttemptEnded, self._on_ended)

    def evaluate(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        now_ms: float,
    ) -> Verdict:
        """Deny while the upstream is left alone."""
        return self._backoffs.evaluate(upstream.upstream_id, now_ms)

    def _on_ended(self, event: AttemptEnded) -> None:
        if event.state is not AttemptState.UNSENT_FAILURE:
            self._backoffs.forget(event.upstream)
        elif event.connection_died:
            self._backoffs.extend(event.upstream, event.now_ms)
