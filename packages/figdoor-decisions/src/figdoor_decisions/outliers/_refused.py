"""Backs off from upstreams that refuse connections."""

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
    """Denies upstreams that refused a connection, for a limited time.

    The VM list shows a dead upstream for seconds. Without the back-off, its
    owner node keeps trying it and each try uses the retry budget; beyond the
    budget, calls are refused that other upstreams could run. The back-off is
    100 ms and doubles with each refusal, up to a second. It never denies an
    upstream that accepts connections, so it needs no limit per pool as
    ejections do.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to own attempts."""
        self._backoffs = Backoffs(node)
        node.events.subscribe(AttemptEnded, self._on_ended)

    def evaluate(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        now_ms: float,
    ) -> Verdict:
        """Deny while the back-off lasts."""
        return self._backoffs.evaluate(upstream.upstream_id, now_ms)

    def _on_ended(self, event: AttemptEnded) -> None:
        if event.state is not AttemptState.UNSENT_FAILURE:
            self._backoffs.reset(event.upstream)
        elif event.connection_died:
            self._backoffs.begin(event.upstream, event.now_ms)
