"""What truly happens in the fuzzed world, as plain facts."""

from dataclasses import dataclass, field

from figdoor_kernel import (
    InstanceId,
    LoadReport,
)

COLD_LIMIT = 1


@dataclass(eq=False)
class Worker:
    """What an upstream truly is, which no node sees directly."""

    name: str
    zone: str
    instance: int = 1
    flights: list = field(default_factory=list)
    completed: int = 0
    cold: bool = True
    draining_since_ms: float | None = None
    silent_since_ms: float | None = None
    shown_ms: dict = field(default_factory=dict)

    @property
    def running(self):
        return len(self.flights)

    def flights_since(self, since_ms, node=None):
        """Count running requests that a node, or any, sent since then."""
        return sum(
            flight.sent_ms >= since_ms and node in {None, flight.node}
            for flight in self.flights
        )

    @property
    def bears(self):
        """How many requests at once it bears in its present state."""
        return COLD_LIMIT if self.cold else 4

    @property
    def is_overloaded_silently(self):
        return self.silent_since_ms is not None and self.running > self.bears

    def report(self):
        mark = InstanceId(f'{self.name}-{self.instance}')
        draining = self.draining_since_ms is not None
        return LoadReport(mark, self.running, draining)


@dataclass(eq=False)
class Flight:
    """One request that runs at a worker."""

    sent_ms: float
    node: str


@dataclass
class CallRecord:
    """One request: what was run and what its caller was told."""

    operation: str
    executions: int = 0
    outcomes: list = field(default_factory=list)


@dataclass(frozen=True)
class SentRecord:
    """One request that left a node, with what held at that moment."""

    now_ms: float
    node: str
    worker: str
    zone: str
    revision: int
    running: int
    bears: int
    silent_since_ms: float | None
    draining_since_ms: float | None
    since_shown_to_node: int
    since_shown: int
