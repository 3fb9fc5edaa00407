"""Requests as a front end and a worker drive them."""

from functools import partial

from facts import COLD_LIMIT, Flight, SentRecord
from support import make_call

from figdoor_kernel import (
    AttemptResult,
    AttemptState,
    Finish,
    Send,
    Wait,
)

SERVICE_MS = 10
DELAYS_MS = {'late': 400, 'hang': 5000}
CONNECT_MS = 1
# News of a turn to cold reaches all nodes within a few hops of 1 ms.
NEWS_MS = 10
# For this long a node ignores claims for an instance that turned cold.
MEMORY_MS = 1000


class DrivenCall:
    """Does the steps of one exchange, as a front end would."""

    def __init__(self, world, node_name, record, fate):
        self.world = world
        self.node = world.network.nodes[node_name]
        self.record = record
        self.fate = fate
        self.attempt = 0
        self.running = None
        world.driven.append(self)
        now_ms = world.clock.now_ms()
        self.exchange = world.dispatchers[node_name].open(
            make_call(record.operation, fingerprint=len(world.calls)),
            now_ms,
            self.advance,
        )

    def later(self, delay_ms, action, *arguments):
        self.world.network.deliver(
            self.node,
            delay_ms,
            partial(action, *arguments),
        )

    def start(self):
        routed = self.exchange.routed
        if routed is not None:
            left_ms = routed.deadline_ms - self.world.clock.now_ms()
            self.later(left_ms, self.on_deadline)
        self.advance()

    def advance(self):
        if self.record.outcomes:
            return
        step = self.exchange.next_step(self.world.clock.now_ms())
        if isinstance(step, Finish):
            self.record.outcomes.append(step.outcome)
        elif isinstance(step, Wait):
            left_ms = step.until_ms - self.world.clock.now_ms()
            self.later(max(0, left_ms), self.advance)
        elif isinstance(step, Send):
            self.attempt += 1
            worker = self.world.workers[step.upstream.upstream_id]
            link = (self.node.node_id, worker.name)
            delay_ms = 0 if self.world.connections[link] else CONNECT_MS
            self.later(delay_ms, self.send, worker, self.attempt)

    def send(self, worker, attempt):
        if attempt != self.attempt or self.record.outcomes:
            return
        world = self.world
        now_ms = world.clock.now_ms()
        if not self.exchange.confirm_send(now_ms):
            self.advance()
            return
        world.connections[(self.node.node_id, worker.name)] += 1
        if self.fate == 'shed':
            self.later(1, self.end, AttemptState.SHED, attempt, worker, 0)
            return
        self.record.executions += 1
        self.flight = Flight(now_ms, self.node.node_id)
        worker.flights.append(self.flight)
        if worker.is_overloaded_silently:
            # It falls over only under load, as one that is cold does.
            self.fate = 'lost'
        world.sent.append(
            SentRecord(
                now_ms,
                self.node.node_id,
                worker.name,
                worker.zone,
                self.node.tables.revision,
                worker.running,
                worker.bears,
                worker.silent_since_ms,
                worker.draining_since_ms,
                *self.count_since_shown(worker, now_ms),
            ),
        )
        delay_ms = DELAYS_MS.get(self.fate, SERVICE_MS)
        left_ms = self.exchange.routed.deadline_ms - now_ms
        # A worker gives up at the deadline that came with the request.
        end = self.finish_on_worker if delay_ms < left_ms else self.cancel
        self.running = (worker, worker.instance)
        world.clock.reactor.callLater(
            min(delay_ms, left_ms) / 1000,
            end,
            *((attempt,) if delay_ms < left_ms else ()),
        )

    def count_since_shown(self, worker, now_ms):
        """Count what runs of that sent since it showed that it is cold.

        At this node within the memory of a turn to cold; over all nodes once
        the news has had time to arrive.
        """
        node = self.node.node_id
        own_ms = worker.shown_ms.get(node, -MEMORY_MS)
        own = 0
        if now_ms - own_ms < MEMORY_MS:
            own = worker.flights_since(own_ms, node)
        first_ms = min(worker.shown_ms.values(), default=now_ms)
        return own, worker.flights_since(first_ms + NEWS_MS)

    def cancel(self):
        """Let the worker stop, since its connection closed."""
        if self.running is not None:
            worker, instance = self.running
            self.running = None
            if worker.instance == instance:
                worker.flights.remove(self.flight)

    def finish_on_worker(self, attempt):
        if self.running is None:
            return
        worker, instance = self.running
        lost = self.fate == 'lost' or worker.instance != instance
        self.cancel()
        if not lost and self.fate != 'fail':
            worker.completed += 1
        if worker.completed >= 4 * COLD_LIMIT:
            worker.cold = False
        state = AttemptState.LOST if lost else AttemptState.ANSWERED
        self.later(0, self.end, state, attempt, worker, instance)

    def end(self, state, attempt, worker, instance):
        if attempt != self.attempt or self.record.outcomes:
            return
        now_ms = self.world.clock.now_ms()
        lost = state is AttemptState.LOST
        if lost and worker.silent_since_ms is not None:
            worker.shown_ms[self.node.node_id] = now_ms
        if not lost:
            self.exchange.report(worker.report(), now_ms)
        if state is AttemptState.ANSWERED:
            self.exchange.begin_response()
        failed = self.fate == 'fail' and not lost
        self.exchange.end(
            AttemptResult(state, failed, connection_died=lost),
            now_ms,
        )
        self.advance()

    def on_deadline(self):
        if not self.record.outcomes:
            self.exchange.abandon(self.world.clock.now_ms())
            self.cancel()
            self.attempt += 1
            self.advance()
