"""The upstreams of a service that one node probes, in order of preference."""

from collections.abc import Sequence
from dataclasses import dataclass
from math import ceil, exp

from figdoor_decisions.gossip import fleet_size
from figdoor_decisions.limits import rendezvous_hash
from figdoor_kernel import (
    AttemptEnded,
    AttemptStarted,
    ConnectionsClosed,
    Node,
    ProbeEnded,
    ServiceName,
    Upstream,
    UpstreamId,
    VmListChanged,
)

# Probes in the first round of a call.
LOCAL_PROBES = 4
# One busy upstream of the smallest subset still leaves a full round.
MIN_SUBSET = LOCAL_PROBES + 1
# Three times the size of a round leaves the choice among fresh reports as good
# as among all upstreams.
MAX_SUBSET = 12
# Upstreams close a connection that was idle for this time.
KEPT_MS = 10_000.0
# Mean number of probes of a subset member within ``KEPT_MS``. With random
# arrivals, 0.3 % (e^-6) of the pauses between two probes are longer than that.
PROBES_WHILE_KEPT = 6
# Mean number of nodes whose subset holds an upstream. With 8, an upstream is
# in no subset with a probability of 0.03 % (e^-8).
NODES_PER_UPSTREAM = 8
# An upstream whose probe failed goes last for this time, and for twice as long
# after each further failure. A probe that gets no answer holds up its round for
# 12 ms and costs its connection.
FAILED_PROBE_MS = 1000.0
MAX_FAILED_PROBE_MS = 4000.0


@dataclass(frozen=True, slots=True)
class _Postponed:
    """Until when an upstream goes last, and how long that is in all."""

    duration_ms: float
    until_ms: float


@dataclass(slots=True)
class _RecentCalls:
    """Calls to a service, each weighted by its age relative to ``KEPT_MS``."""

    count: float = 0
    counted_at_ms: float = float('-inf')

    def decay(self, now_ms: float) -> float:
        """Return the weighted number of calls."""
        self.count *= exp((self.counted_at_ms - now_ms) / KEPT_MS)
        self.counted_at_ms = now_ms
        return self.count


class PreferredUpstreams:
    """Orders upstreams so that a node's probes find open connections.

    Each node ranks the upstreams by a hash of its own id and theirs. The order
    stays the same while the list does, and an upstream that joins or leaves
    moves no other relative to the rest.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to own attempts, probes and closed connections."""
        self._node = node
        self._recent: dict[ServiceName, _RecentCalls] = {}
        self._connected: set[UpstreamId] = set()
        self._postponed: dict[UpstreamId, _Postponed] = {}
        self._in_flight: dict[int, UpstreamId] = {}
        node.events.subscribe(AttemptStarted, self._on_started)
        node.events.subscribe(AttemptEnded, self._on_ended)
        node.events.subscribe(ProbeEnded, self._on_probe_ended)
        node.events.subscribe(ConnectionsClosed, self._on_closed)
        node.events.subscribe(VmListChanged, self._on_vm_list)

    def count_call(self, service: ServiceName, now_ms: float) -> None:
        """Count a call to a service."""
        recent = self._recent.setdefault(service, _RecentCalls())
        recent.decay(now_ms)
        recent.count += 1

    def subset_size(
        self, service: ServiceName, upstream_count: int, now_ms: float
    ) -> int:
        """Return how many local upstreams the first round draws from.

        A larger subset than the node's calls keep connections open to costs a
        new connection for most probes. A smaller one is enough: the other
        nodes prefer other upstreams.

        Examples for ``upstream_count`` upstreams in all zones: 69 and 133
        nodes with 1.2 calls a second each give 8, with 0.4 calls a second 5.
        """
        recent = self._recent.get(service)
        calls = recent.decay(now_ms) if recent else 0
        by_rate = calls * LOCAL_PROBES / PROBES_WHILE_KEPT
        by_fleet = NODES_PER_UPSTREAM * upstream_count / fleet_size(self._node)
        return max(MIN_SUBSET, min(MAX_SUBSET, ceil(max(by_rate, by_fleet))))

    def ranked(
        self, upstreams: Sequence[Upstream], now_ms: float
    ) -> list[Upstream]:
        """Return the upstreams in this node's order of preference."""
        node_id = self._node.node_id
        return sorted(
            upstreams,
            key=lambda upstream: (
                not self._is_postponed(upstream, now_ms),
                rendezvous_hash(node_id, upstream.upstream_id),
            ),
            reverse=True,
        )

    def without_postponed(
        self, upstreams: Sequence[Upstream], min_count: int, now_ms: float
    ) -> Sequence[Upstream]:
        """Leave out upstreams that go last, unless too few others remain."""
        others = [
            upstream
            for upstream in upstreams
            if not self._is_postponed(upstream, now_ms)
        ]
        return upstreams if len(others) < min_count else others

    def is_connected(self, upstream: Upstream) -> bool:
        """Return whether a connection to the upstream was left open."""
        return upstream.upstream_id in self._connected

    def split_busy(
        self, upstreams: Sequence[Upstream]
    ) -> tuple[list[Upstream], list[Upstream]]:
        """Divide upstreams into those without and with an attempt in flight.

        A connection carries one request at a time, so a probe of an upstream
        that works for this node opens a second one.
        """
        busy_ids = set(self._in_flight.values())
        free: list[Upstream] = []
        busy: list[Upstream] = []
        for upstream in upstreams:
            is_busy = upstream.upstream_id in busy_ids
            (busy if is_busy else free).append(upstream)
        return free, busy

    def _on_started(self, event: AttemptStarted) -> None:
        self._in_flight[event.attempt_id] = event.upstream

    def _on_ended(self, event: AttemptEnded) -> None:
        self._in_flight.pop(event.attempt_id, None)

    def _is_postponed(self, upstream: Upstream, now_ms: float) -> bool:
        postponed = self._postponed.get(upstream.upstream_id)
        return postponed is not None and now_ms < postponed.until_ms

    def _on_probe_ended(self, event: ProbeEnded) -> None:
        if event.succeeded:
            self._connected.add(event.upstream)
            self._postponed.pop(event.upstream, None)
            return
        duration_ms = FAILED_PROBE_MS
        last = self._postponed.get(event.upstream)
        if last is not None:
            duration_ms = min(2 * last.duration_ms, MAX_FAILED_PROBE_MS)
        self._postponed[event.upstream] = _Postponed(
            duration_ms, event.now_ms + duration_ms
        )

    def _on_closed(self, event: ConnectionsClosed) -> None:
        self._connected.discard(event.upstream)

    def _on_vm_list(self, event: VmListChanged) -> None:
        self._node.fleet.drop_unlisted(self._postponed)
