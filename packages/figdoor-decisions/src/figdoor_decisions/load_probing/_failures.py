"""How often upstreams have failed lately, as far as the fleet tells."""

from dataclasses import dataclass

from figdoor_kernel import (
    AttemptEnded,
    AttemptState,
    BroadcastRequested,
    Node,
    Service,
    UpdateReceived,
    Upstream,
    UpstreamFailing,
    UpstreamId,
    VmListChanged,
)

# How much one failed answer adds to the share of failures.
FAILURE_WEIGHT = 0.3
FAILURE_MEMORY_MS = 5000.0
# One node hears of several failures of an upstream, and several nodes hear
# of some. News that is this recent need not be told again.
TELL_INTERVAL_MS = 1000.0


@dataclass(slots=True)
class _Failures:
    """The share of failures when it last changed."""

    share: float = 0
    at_ms: float = float('-inf')
    told_at_ms: float = float('-inf')

    def now(self, now_ms: float) -> float:
        """Return what is left of the share."""
        age_ms = now_ms - self.at_ms
        return self.share * max(0, 1 - age_ms / FAILURE_MEMORY_MS)

    def add(self, now_ms: float) -> None:
        """Count one more failure."""
        share = self.now(now_ms)
        self.share = share + FAILURE_WEIGHT * (1 - share)
        self.at_ms = now_ms


class UpstreamFailures(Service):
    """Counts failures of own attempts and those that other nodes tell.

    A node sends few calls to each upstream. Without news of the others each
    node of a fleet finds out by its own failed calls.
    """

    def __init__(self, node: Node) -> None:
        """Follow ended attempts and news."""
        self._fleet = node.fleet
        self._events = node.events
        self._known: dict[UpstreamId, _Failures] = {}
        node.events.subscribe(AttemptEnded, self._on_ended)
        node.events.subscribe(UpdateReceived, self._on_news)
        node.events.subscribe(VmListChanged, self._on_vm_list)

    def share(self, upstream: Upstream, now_ms: float) -> float:
        """Return the recent share of failures, between 0 and 1."""
        known = self._known.get(upstream.upstream_id)
        return known.now(now_ms) if known else 0

    def _on_ended(self, event: AttemptEnded) -> None:
        if event.cancelled:
            return
        # Only what the upstream itself answered is told to others: a lost
        # connection may be due to this node.
        is_answer = event.failed or event.state is AttemptState.SHED
        if is_answer or event.state is AttemptState.LOST:
            self._of(event.upstream).add(event.now_ms)
        elif event.state is AttemptState.ANSWERED:
            known = self._known.get(event.upstream)
            if known is not None:
                known.share *= 1 - FAILURE_WEIGHT
        if is_answer:
            self._tell(event.upstream, event.now_ms)

    def _tell(self, upstream_id: UpstreamId, now_ms: float) -> None:
        known = self._of(upstream_id)
        upstream = self._fleet.find(upstream_id)
        if upstream is None or now_ms - known.told_at_ms < TELL_INTERVAL_MS:
            return
        known.told_at_ms = now_ms
        news = UpstreamFailing(upstream_id, upstream.instance)
        self._events.publish(BroadcastRequested(news, now_ms))

    def _on_news(self, event: UpdateReceived) -> None:
        news = event.update
        if not isinstance(news, UpstreamFailing):
            return
        upstream = self._fleet.find(news.upstream)
        if upstream is None:
            return
        # Until its first report the instance is known by its entry only.
        if upstream.report is None or upstream.instance == news.instance:
            known = self._of(news.upstream)
            known.add(event.now_ms)
            known.told_at_ms = event.now_ms

    def _of(self, upstream_id: UpstreamId) -> _Failures:
        return self._known.setdefault(upstream_id, _Failures())

    def _on_vm_list(self, event: VmListChanged) -> None:
        self._fleet.drop_unlisted(self._known)
