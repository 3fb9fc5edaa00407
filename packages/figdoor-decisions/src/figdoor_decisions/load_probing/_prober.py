"""Probes a sample of the candidates of a call, in one or more rounds."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from figdoor_decisions.load_probing._budget import ProbeBudget
from figdoor_decisions.load_probing._loads import FreshLoads
from figdoor_decisions.load_probing._preferred import (
    LOCAL_PROBES,
    PreferredUpstreams,
)
from figdoor_decisions.outliers import RequestedBackoff
from figdoor_decisions.overload import WaitLimits
from figdoor_kernel import (
    AttemptStarted,
    CallClosed,
    Extension,
    LoadProber,
    Node,
    ProbeEnded,
    ProbeRequested,
    RoutedCall,
    Upstream,
    UpstreamId,
)

# A probe takes less than 1 ms within an availability zone and 3 ms between two.
ROUND_TIMEOUT_MS = 12.0
# Where the node's own availability zone has fewer candidates than this, the
# first round also probes remote ones.
MIN_PROBES = 3
REMOTE_PROBES = 2
# Each later round may use this many more upstreams than the one before, of the
# own availability zone and of the others.
LOCAL_STEP = 4
REMOTE_STEP = 2
# A waiting call uses no more than these. Without a limit, the rounds of waiting
# calls opened connections from each node to every upstream of the service:
# 32,496 for 7,500 requests from 133 nodes to 122 upstreams.
MAX_LOCAL = 16
MAX_REMOTE = 8
# Rounds have their full size while the probe budget is filled at least to this
# level. Below it, their size falls in proportion.
FULL_SIZE_LEVEL = 0.5
# Time between two rounds of one call.
ROUND_INTERVAL_MS = 20.0
# Share of the objective that a call may wait for an upstream with capacity. It
# leaves time for the work and for a second try of the caller.
MAX_WAIT_SHARE = 0.25
DEFAULT_OBJECTIVE_MS = 1000.0
# A pending probe keeps an upstream from being probed again for at most this
# time.
MAX_PENDING_MS = 50.0


@dataclass(slots=True)
class _Round:
    """The pending probes of one call."""

    wake: Callable[[], None]
    until_ms: float
    pending: set[UpstreamId]


@dataclass(slots=True)
class _CallRounds:
    """The rounds of a call, kept under the id of ``routed``.

    The reference to ``routed`` keeps Python from reusing its id.
    ``attempt_rounds`` counts the rounds since the last attempt, and ``sampled``
    holds the last of them in which an upstream was in the sample.
    """

    routed: RoutedCall
    round_count: int = 0
    was_resumed: bool = False
    attempt_rounds: int = 0
    sampled: dict[UpstreamId, int] = field(default_factory=dict)


class SamplingProber(LoadProber):
    """Probes local upstreams first, remote ones mainly in later rounds."""

    def __init__(self, node: Node) -> None:
        """Subscribe to ended probes and closed calls."""
        self._node = node
        self._loads: FreshLoads = node.part(Extension.SERVICE, 'fresh-loads')
        self._budget = ProbeBudget(node)
        self._preferred = PreferredUpstreams(node)
        self._backoff: RequestedBackoff = node.part(
            Extension.CANDIDATE_RULE,
            'requested-backoff',
        )
        self._wait_limits: WaitLimits = node.part(
            Extension.SERVICE, 'wait-limits'
        )
        self._rounds: list[_Round] = []
        self._calls: dict[int, _CallRounds] = {}
        self._pending_ms: dict[UpstreamId, float] = {}
        node.events.subscribe(ProbeEnded, self._on_probe_ended)
        node.events.subscribe(AttemptStarted, self._on_attempt_started)
        node.events.subscribe(CallClosed, self._on_call_closed)

    def round_count(self, routed: RoutedCall) -> int:
        """Return how many rounds were begun for a call."""
        call = self._calls.get(id(routed))
        return call.round_count if call else 0

    def begin(
        self,
        candidates: Sequence[Upstream],
        routed: RoutedCall,
        wake: Callable[[], None],
        now_ms: float,
    ) -> float:
        """Probe a sample of the candidates; return until when to wait."""
        call = self._calls.setdefault(id(routed), _CallRounds(routed))
        call.round_count += 1
        call.attempt_rounds += 1
        sample = self._sample_candidates(candidates, call, now_ms)
        targets = [
            upstream
            for upstream in sample
            if not self._loads.is_fresh(upstream, now_ms)
        ]
        if not targets:
            return now_ms
        pending = {upstream.upstream_id for upstream in targets}
        probe_round = _Round(wake, now_ms + ROUND_TIMEOUT_MS, pending)
        self._rounds.append(probe_round)
        for upstream in targets:
            self._probe(upstream, now_ms)
        return probe_round.until_ms

    def resume_ms(self, routed: RoutedCall, now_ms: float) -> float | None:
        """Return when the next round begins, ``None`` after the last.

        If all upstreams have asked for a pause, no round begins before the
        first of these pauses ends.

        The second round follows the first at once, but only once per call. A
        call that has tried all upstreams begins no further round, so its round
        count stays at 1, and it would otherwise be resumed in a busy loop.
        """
        call = self._calls.get(id(routed))
        if call and call.round_count == 1 and not call.was_resumed:
            call.was_resumed = True
            return now_ms
        resumes_ms = self._backoff.service_resumes_ms(
            routed.pool.service, now_ms
        )
        interval_ms = self._interval_ms(routed, now_ms)
        next_round_ms = max(resumes_ms, now_ms + interval_ms)
        if self._exceeds_wait(routed, next_round_ms, now_ms):
            return None
        return next_round_ms

    def is_last_round(self, routed: RoutedCall, now_ms: float) -> bool:
        """Return whether the call must not wait for another round."""
        next_round_ms = now_ms + self._interval_ms(routed, now_ms)
        return self._exceeds_wait(routed, next_round_ms, now_ms)

    def _interval_ms(self, routed: RoutedCall, now_ms: float) -> float:
        if self._node.has_overload_control:
            return self._wait_limits.interval_ms(routed, now_ms)
        return ROUND_INTERVAL_MS

    def _exceeds_wait(
        self, routed: RoutedCall, at_ms: float, now_ms: float
    ) -> bool:
        """Return whether a call must not wait until this time."""
        if self._node.has_overload_control:
            return at_ms > self._wait_limits.until_ms(routed, now_ms)
        objective_ms = routed.route.objective_ms or DEFAULT_OBJECTIVE_MS
        return at_ms - routed.opened_ms > MAX_WAIT_SHARE * objective_ms

    def _sample_candidates(
        self,
        candidates: Sequence[Upstream],
        call: _CallRounds,
        now_ms: float,
    ) -> list[Upstream]:
        candidates = self._preferred.without_postponed(
            candidates, MIN_PROBES, now_ms
        )
        local, remote = self._split_by_zone(candidates)
        subset_size = self._subset_size(call, len(candidates), now_ms)
        if call.attempt_rounds == 1:
            sample = self._sample_first(local, remote, subset_size, now_ms)
        else:
            steps = call.attempt_rounds - 1
            local_reach = min(MAX_LOCAL, subset_size + LOCAL_STEP * steps)
            remote_reach = min(MAX_REMOTE, REMOTE_STEP * steps)
            local = self._preferred.ranked(local, now_ms)[:local_reach]
            remote = self._preferred.ranked(remote, now_ms)[:remote_reach]
            sample = self._sample_next(
                local, LOCAL_PROBES, call, now_ms
            ) + self._sample_next(remote, REMOTE_PROBES, call, now_ms)
        for upstream in sample:
            call.sampled[upstream.upstream_id] = call.attempt_rounds
        return sample

    def _split_by_zone(
        self, candidates: Sequence[Upstream]
    ) -> tuple[list[Upstream], list[Upstream]]:
        """Return the upstreams of the node's own zone, and those of others."""
        local_zone = self._node.availability_zone
        local: list[Upstream] = []
        remote: list[Upstream] = []
        for upstream in candidates:
            is_local = upstream.availability_zone == local_zone
            (local if is_local else remote).append(upstream)
        return local, remote

    def _subset_size(
        self, call: _CallRounds, upstream_count: int, now_ms: float
    ) -> int:
        service = call.routed.pool.service
        if call.round_count == 1:
            self._preferred.count_call(service, now_ms)
        return self._preferred.subset_size(service, upstream_count, now_ms)

    def _scale(self, probe_count: int, now_ms: float) -> int:
        """Return the number of probes that the budget leaves of a round."""
        fill_level = self._budget.fill_level(now_ms)
        return round(min(1, fill_level / FULL_SIZE_LEVEL) * probe_count)

    def _sample_first(
        self,
        local: list[Upstream],
        remote: list[Upstream],
        subset_size: int,
        now_ms: float,
    ) -> list[Upstream]:
        """Return a random sample of the local subset.

        Upstreams that work for this node are taken last. Remote ones are taken
        in the stable order, and only where local ones are few.
        """
        # The first round sends a probe even if the budget is used up.
        count = max(1, self._scale(LOCAL_PROBES, now_ms))
        subset = self._preferred.ranked(local, now_ms)[:subset_size]
        free, busy = self._preferred.split_busy(subset)
        sample = self._draw(free, count)
        sample += self._draw(busy, count - len(sample))
        remote_count = min(count, MIN_PROBES) - len(sample)
        if remote_count <= 0:
            return sample
        free, busy = self._preferred.split_busy(
            self._preferred.ranked(remote, now_ms)
        )
        return sample + (free + busy)[:remote_count]

    def _sample_next(
        self,
        upstreams: list[Upstream],
        probe_count: int,
        call: _CallRounds,
        now_ms: float,
    ) -> list[Upstream]:
        """Return the upstreams whose reports help a waiting call most.

        Those not yet sampled for the call go first, and among them those with
        an open connection. Once all were sampled, the first ones are again.
        """
        stale = [
            upstream
            for upstream in upstreams
            if not self._loads.is_fresh(upstream, now_ms)
        ]
        stale.sort(
            key=lambda upstream: (
                call.sampled.get(upstream.upstream_id, 0),
                not self._preferred.is_connected(upstream),
            ),
        )
        return stale[: self._scale(probe_count, now_ms)]

    def _draw(self, upstreams: list[Upstream], count: int) -> list[Upstream]:
        size = max(0, min(count, len(upstreams)))
        return self._node.random.sample(upstreams, size)

    def _probe(self, upstream: Upstream, now_ms: float) -> None:
        upstream_id = upstream.upstream_id
        age_ms = now_ms - self._pending_ms.get(upstream_id, float('-inf'))
        if age_ms <= MAX_PENDING_MS:
            return
        self._pending_ms[upstream_id] = now_ms
        self._budget.spend()
        self._node.events.publish(ProbeRequested(upstream_id, now_ms))

    def _on_probe_ended(self, event: ProbeEnded) -> None:
        self._pending_ms.pop(event.upstream, None)
        finished = []
        unfinished = []
        for probe_round in self._rounds:
            probe_round.pending.discard(event.upstream)
            if not probe_round.pending:
                finished.append(probe_round)
            elif event.now_ms < probe_round.until_ms:
                unfinished.append(probe_round)
        self._rounds = unfinished
        for probe_round in finished:
            probe_round.wake()

    def _on_attempt_started(self, event: AttemptStarted) -> None:
        """Begin with the subset again if the call needs another attempt."""
        call = self._calls.get(id(event.routed))
        if call is not None:
            call.attempt_rounds = 0
            call.sampled.clear()

    def _on_call_closed(self, event: CallClosed) -> None:
        if event.routed is not None:
            self._calls.pop(id(event.routed), None)
