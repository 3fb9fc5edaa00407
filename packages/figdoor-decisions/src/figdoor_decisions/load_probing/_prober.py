"""Which upstreams are probed for a call, and how long it waits for them."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from figdoor_decisions.load_probing._budget import ProbeAllowance
from figdoor_decisions.load_probing._loads import FreshLoads
from figdoor_kernel import (
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

# An answer within the zone takes under 1 ms and from another zone 3 ms.
SURVEY_MS = 12.0
LOCAL_PROBES = 4
# A zone with fewer upstreams is made up for by others.
MIN_PROBES = 3
REMOTE_PROBES = 2
# Surveys are as large as this while half of the allowance is left, and get
# smaller with what is left of it.
FULL_SIZE_LEFT = 0.5
# Time between two surveys of one call.
RESURVEY_MS = 20.0
# Share of the objective that a call may wait for an upstream with room. It
# leaves time for the work and for a second try of the caller.
WAITING_SHARE = 0.25
DEFAULT_OBJECTIVE_MS = 1000.0
# A probe that was not answered within this time does not keep another from
# being sent.
PROBE_PENDING_MS = 50.0


@dataclass(slots=True)
class _Survey:
    """The probes that one call waits for."""

    wake: Callable[[], None]
    until_ms: float
    pending: set[UpstreamId]


@dataclass(slots=True)
class _Course:
    """How often a call was surveyed; the reference keeps its id in use."""

    routed: RoutedCall
    rounds: int = 0
    was_resumed: bool = False


class ProbeSurvey(LoadProber):
    """Probes upstreams of the own zone first, then those of others."""

    def __init__(self, node: Node) -> None:
        """Follow probes and closed calls."""
        self._node = node
        self._loads: FreshLoads = node.part(Extension.SERVICE, 'fresh-loads')
        self._allowance = ProbeAllowance(node)
        self._surveys: list[_Survey] = []
        self._courses: dict[int, _Course] = {}
        self._pending_ms: dict[UpstreamId, float] = {}
        node.events.subscribe(ProbeEnded, self._on_probe)
        node.events.subscribe(CallClosed, self._on_closed)

    def rounds(self, routed: RoutedCall) -> int:
        """Return how many surveys were begun for a call."""
        course = self._courses.get(id(routed))
        return course.rounds if course else 0

    def begin(
        self,
        candidates: Sequence[Upstream],
        routed: RoutedCall,
        wake: Callable[[], None],
        now_ms: float,
    ) -> float:
        """Probe some of the candidates and wait for their answers."""
        course = self._courses.setdefault(id(routed), _Course(routed))
        course.rounds += 1
        samples = self._samples(candidates, course, now_ms)
        asked = [
            upstream
            for upstream in samples
            if not self._loads.is_fresh(upstream, now_ms)
        ]
        if not asked:
            return now_ms
        pending = {upstream.upstream_id for upstream in asked}
        survey = _Survey(wake, now_ms + SURVEY_MS, pending)
        self._surveys.append(survey)
        for upstream in asked:
            self._probe(upstream, now_ms)
        return survey.until_ms

    def resume_ms(self, routed: RoutedCall, now_ms: float) -> float | None:
        """Wait for a part of the objective; the second survey is at once.

        That is granted once, since there may be nothing left to probe.
        """
        course = self._courses.get(id(routed))
        if course and course.rounds == 1 and not course.was_resumed:
            course.was_resumed = True
            return now_ms
        return None if self.is_last(routed, now_ms) else now_ms + RESURVEY_MS

    def is_last(self, routed: RoutedCall, now_ms: float) -> bool:
        """Return whether the call does not wait for another survey."""
        objective_ms = routed.route.objective_ms or DEFAULT_OBJECTIVE_MS
        resumes_ms = now_ms + RESURVEY_MS
        return resumes_ms - routed.opened_ms > WAITING_SHARE * objective_ms

    def _samples(
        self,
        candidates: Sequence[Upstream],
        course: _Course,
        now_ms: float,
    ) -> list[Upstream]:
        size = min(1, self._allowance.left(now_ms) / FULL_SIZE_LEFT)
        own_zone = self._node.availability_zone
        local: list[Upstream] = []
        remote: list[Upstream] = []
        for upstream in candidates:
            is_local = upstream.availability_zone == own_zone
            (local if is_local else remote).append(upstream)
        if course.rounds > 1:
            return self._pick(local, round(size * LOCAL_PROBES)) + self._pick(
                remote,
                round(size * REMOTE_PROBES),
            )
        # A call that is not known to wait may always ask one.
        count = max(1, round(size * LOCAL_PROBES))
        chosen = self._pick(local, count)
        fewest = min(count, MIN_PROBES)
        return chosen + self._pick(remote, fewest - len(chosen))

    def _pick(self, group: list[Upstream], count: int) -> list[Upstream]:
        size = max(0, min(count, len(group)))
        return self._node.random.sample(group, size)

    def _probe(self, upstream: Upstream, now_ms: float) -> None:
        upstream_id = upstream.upstream_id
        since_ms = now_ms - self._pending_ms.get(upstream_id, float('-inf'))
        if since_ms <= PROBE_PENDING_MS:
            return
        self._pending_ms[upstream_id] = now_ms
        self._allowance.spend()
        self._node.events.publish(ProbeRequested(upstream_id, now_ms))

    def _on_probe(self, event: ProbeEnded) -> None:
        self._pending_ms.pop(event.upstream, None)
        done = []
        left = []
        for survey in self._surveys:
            survey.pending.discard(event.upstream)
            if not survey.pending:
                done.append(survey)
            elif event.now_ms < survey.until_ms:
                left.append(survey)
        self._surveys = left
        for survey in done:
            survey.wake()

    def _on_closed(self, event: CallClosed) -> None:
        if event.routed is not None:
            self._courses.pop(id(event.routed), None)
