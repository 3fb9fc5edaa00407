"""Workers and a clock for simulations, without I/O."""

from collections import deque
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from math import exp

from figdoor_kernel import AttemptResult, AttemptState, LoadReport

SLOTS = 6
QUEUE = 4
SERVICE_MEAN_MS = 10.0
SERVICE_SIGMA = 0.5
SLOWNESS = 10
COLD_MS = 200.0
COLD_CAPACITY = 1
DOWN_MS = 50.0
LOCAL_ONE_WAY_MS = 0.1
REMOTE_ONE_WAY_MS = 1.5


class VirtualClock:
    """A node's clock that runs scheduled actions in order of time."""

    def __init__(self):
        self.time_ms = 0.0
        self._order = count()
        self._due = []

    def now_ms(self):
        return self.time_ms

    def at(self, time_ms, action, *arguments):
        heappush(self._due, (time_ms, next(self._order), action, arguments))

    def run(self):
        while self._due:
            self.time_ms, _, action, arguments = heappop(self._due)
            action(*arguments)


@dataclass(slots=True, eq=False)
class Job:
    """An attempt at a worker; ``respond`` receives its result."""

    respond: object
    dropped: bool = False


@dataclass
class Worker:
    """Runs ``SLOTS`` jobs concurrently, queues ``QUEUE`` more, sheds the rest.

    ``slow`` lists intervals in which work advances at a tenth of its speed,
    ``failing`` those in which the worker fails every request at once.
    """

    name: str
    clock: VirtualClock
    random: object
    on_restart: object = lambda name: None
    slow: list = field(default_factory=list)
    failing: list = field(default_factory=list)
    down_until_ms: float = 0.0
    cold_until_ms: float = 0.0
    instance: int = 1
    crashes: int = 0
    served: int = 0
    # A dict keeps the order of arrival, so that equal seeds give equal runs.
    running: dict = field(default_factory=dict)
    waiting: deque = field(default_factory=deque)

    def report(self):
        busy = len(self.running) + len(self.waiting)
        return LoadReport(f'{self.name}-{self.instance}', busy)

    @property
    def is_down(self):
        return self.clock.time_ms < self.down_until_ms

    @property
    def is_impaired(self):
        """Whether a request sent now would fail or take long."""
        now_ms = self.clock.time_ms
        return (
            self.is_down
            or is_inside(now_ms, self.failing)
            or is_inside(now_ms, self.slow)
            or (now_ms < self.cold_until_ms and bool(self.running))
        )

    def arrive(self, respond):
        now_ms = self.clock.time_ms
        if self.is_down:
            respond(
                AttemptResult(AttemptState.LOST, connection_died=True), None
            )
        elif is_inside(now_ms, self.failing):
            failed = AttemptResult(AttemptState.ANSWERED, failed=True)
            respond(failed, self.report())
        elif now_ms < self.cold_until_ms and len(self.running) >= COLD_CAPACITY:
            self.crashes += 1
            self.restart(respond)
        elif len(self.running) < SLOTS:
            self._begin(Job(respond))
        elif len(self.waiting) < QUEUE:
            self.waiting.append(Job(respond))
        else:
            respond(AttemptResult(AttemptState.SHED), self.report())

    def restart(self, *more_lost):
        """Lose all requests, stay down for ``DOWN_MS`` and restart cold."""
        now_ms = self.clock.time_ms
        jobs = [*self.running, *self.waiting]
        self.running = {}
        self.waiting.clear()
        self.instance += 1
        self.down_until_ms = now_ms + DOWN_MS
        self.cold_until_ms = self.down_until_ms + COLD_MS
        lost = AttemptResult(AttemptState.LOST, connection_died=True)
        for job in jobs:
            job.dropped = True
        for respond in (*(job.respond for job in jobs), *more_lost):
            respond(lost, None)
        self.on_restart(self.name)

    def finish_ms(self, start_ms, work_ms):
        """Return when work ends that starts at ``start_ms``, slow times included."""
        at_ms = start_ms
        for begin_ms, end_ms in self.slow:
            if end_ms <= at_ms:
                continue
            if at_ms + work_ms <= begin_ms:
                break
            work_ms -= max(0, begin_ms - at_ms)
            at_ms = max(at_ms, begin_ms)
            if work_ms * SLOWNESS <= end_ms - at_ms:
                return at_ms + work_ms * SLOWNESS
            work_ms -= (end_ms - at_ms) / SLOWNESS
            at_ms = end_ms
        return at_ms + work_ms

    def _begin(self, job):
        self.running[job] = True
        mu = -SERVICE_SIGMA * SERVICE_SIGMA / 2
        work_ms = SERVICE_MEAN_MS * exp(self.random.gauss(mu, SERVICE_SIGMA))
        now_ms = self.clock.time_ms
        self.clock.at(self.finish_ms(now_ms, work_ms), self._end, job)

    def _end(self, job):
        if job.dropped:
            return
        self.running.pop(job)
        self.served += 1
        job.respond(AttemptResult(AttemptState.ANSWERED), self.report())
        if self.waiting:
            self._begin(self.waiting.popleft())


def is_inside(now_ms, intervals):
    """Return whether a time lies in one of the intervals."""
    return any(begin_ms <= now_ms < end_ms for begin_ms, end_ms in intervals)
