"""Recent failure rates of upstreams, as observed by the whole fleet."""

from dataclasses import dataclass

from figdoor_kernel import (
    AttemptEnded,
    AttemptState,
    BroadcastRequested,
    InstanceId,
    Node,
    Service,
    UpdateReceived,
    Upstream,
    UpstreamFailing,
    UpstreamId,
    VmListChanged,
)

# Weight of one result in the failure rate.
FAILURE_WEIGHT = 0.3
FAILURE_DECAY_MS = 5000.0
# A node broadcasts no failure of an upstream for which it has sent or received
# an update within this time. This limits the updates while a service sheds
# load.
BROADCAST_INTERVAL_MS = 1000.0


@dataclass(slots=True)
class _FailureRate:
    """A failure rate, as of its last change."""

    rate: float = 0
    at_ms: float = float('-inf')
    broadcast_at_ms: float = float('-inf')

    def decayed(self, now_ms: float) -> float:
        """Return the rate, which decays linearly to 0."""
        age_ms = now_ms - self.at_ms
        return self.rate * max(0, 1 - age_ms / FAILURE_DECAY_MS)

    def add_failure(self, now_ms: float) -> None:
        """Count one failure."""
        rate = self.decayed(now_ms)
        self.rate = rate + FAILURE_WEIGHT * (1 - rate)
        self.at_ms = now_ms


class UpstreamFailures(Service):
    """Counts failures of own attempts and those that other nodes broadcast.

    A node sends few calls to each upstream. Without the updates of the others,
    each node would detect a failing upstream only by its own failed calls.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to ended attempts, updates and the VM list."""
        self._fleet = node.fleet
        self._events = node.events
        self._rates: dict[UpstreamId, _FailureRate] = {}
        node.events.subscribe(AttemptEnded, self._on_ended)
        node.events.subscribe(UpdateReceived, self._on_update)
        node.events.subscribe(VmListChanged, self._on_vm_list)

    def rate(self, upstream: Upstream, now_ms: float) -> float:
        """Return the recent failure rate, from 0 to 1."""
        record = self._rates.get(upstream.upstream_id)
        return record.decayed(now_ms) if record else 0

    def _on_ended(self, event: AttemptEnded) -> None:
        if event.cancelled:
            return
        # Only failures that the upstream itself answered are broadcast: a
        # lost connection may be due to this node.
        is_answer = event.failed or event.state is AttemptState.SHED
        if is_answer or event.state is AttemptState.LOST:
            self._rate_of(event.upstream).add_failure(event.now_ms)
        elif event.state is AttemptState.ANSWERED:
            record = self._rates.get(event.upstream)
            if record is not None:
                record.rate *= 1 - FAILURE_WEIGHT
        if is_answer:
            self._broadcast(event.upstream, event.now_ms)

    def _broadcast(self, upstream_id: UpstreamId, now_ms: float) -> None:
        record = self._rate_of(upstream_id)
        upstream = self._fleet.find(upstream_id)
        if (
            upstream is None
            or now_ms - record.broadcast_at_ms < BROADCAST_INTERVAL_MS
        ):
            return
        record.broadcast_at_ms = now_ms
        update = UpstreamFailing(upstream_id, upstream.instance)
        self._events.publish(BroadcastRequested(update, now_ms))

    def _on_update(self, event: UpdateReceived) -> None:
        update = event.update
        if not isinstance(update, UpstreamFailing):
            return
        upstream = self._fleet.find(update.upstream)
        if upstream is None:
            return
        # A list may name no instances; an update then concerns the upstream.
        if upstream.instance in {update.instance, InstanceId('')}:
            record = self._rate_of(update.upstream)
            record.add_failure(event.now_ms)
            record.broadcast_at_ms = event.now_ms

    def _rate_of(self, upstream_id: UpstreamId) -> _FailureRate:
        return self._rates.setdefault(upstream_id, _FailureRate())

    def _on_vm_list(self, event: VmListChanged) -> None:
        self._fleet.drop_unlisted(self._rates)
