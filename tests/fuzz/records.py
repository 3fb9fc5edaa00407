"""Actual state of workers and requests in the simulation, as plain records."""

from dataclasses import dataclass, field

from figdoor_kernel import (
    InstanceId,
    LoadReport,
)

COLD_LIMIT = 1


@dataclass(eq=False)
class Worker:
    """Actual state of an upstream, which no node can read directly.

    ``silently_cold_since_ms`` is the time at which it turned cold without a
    restart, ``cold_detected_ms`` holds, by node, the time at which a lost
    request last showed this.
    """

    name: str
    zone: str
    instance: int = 1
    requests: list = field(default_factory=list)
    completed: int = 0
    cold: bool = True
    draining_since_ms: float | None = None
    silently_cold_since_ms: float | None = None
    cold_detected_ms: dict = field(default_factory=dict)

    @property
    def running(self):
        return len(self.requests)

    def count_sent_since(self, since_ms, node=None):
        """Count running requests that a node, or any node, sent since then."""
        return sum(
            request.sent_ms >= since_ms and node in {None, request.node}
            for request in self.requests
        )

    @property
    def capacity(self):
        """Number of concurrent requests that it can handle in its state."""
        return COLD_LIMIT if self.cold else 4

    @property
    def is_silently_overloaded(self):
        return (
            self.silently_cold_since_ms is not None
            and self.running > self.capacity
        )

    def report(self):
        instance_id = InstanceId(f'{self.name}-{self.instance}')
        draining = self.draining_since_ms is not None
        return LoadReport(instance_id, self.running, draining)


@dataclass(eq=False)
class RunningRequest:
    """A request that runs on a worker."""

    sent_ms: float
    node: str


@dataclass
class CallRecord:
    """A caller's request: its executions and the outcomes reported for it."""

    operation: str
    executions: int = 0
    outcomes: list = field(default_factory=list)


@dataclass(frozen=True)
class SentRecord:
    """A request sent to a worker, and the state at that moment.

    ``sent_since_detected_by_node`` and ``sent_since_detected`` count the
    running requests that this node and all nodes have sent since it was
    detected that the worker had turned cold.
    """

    now_ms: float
    node: str
    worker: str
    zone: str
    revision: int
    running: int
    capacity: int
    silently_cold_since_ms: float | None
    draining_since_ms: float | None
    sent_since_detected_by_node: int
    sent_since_detected: int
