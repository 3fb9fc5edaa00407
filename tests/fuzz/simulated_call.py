"""Simulates calls, in place of the front end and the worker."""

from functools import partial

from records import COLD_LIMIT, RunningRequest, SentRecord
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
# An update that an upstream turned cold reaches all nodes within a few hops
# of 1 ms.
UPDATE_DELAY_MS = 10
# Time for which a node ignores warm claims for an instance that turned cold.
WARM_CLAIMS_IGNORED_MS = 1000


class SimulatedCall:
    """Carries out the steps of one exchange as a front end does.

    ``ending`` says how the worker ends the request: one of ``ENDINGS`` in
    ``machine.py``.
    """

    def __init__(self, simulation, node_name, record, ending):
        self.simulation = simulation
        self.node = simulation.network.nodes[node_name]
        self.record = record
        self.ending = ending
        self.attempt = 0
        self.execution = None
        simulation.simulated_calls.append(self)
        now_ms = simulation.clock.now_ms()
        self.exchange = simulation.dispatchers[node_name].open(
            make_call(
                record.operation, fingerprint=len(simulation.call_records)
            ),
            now_ms,
            self.advance,
        )

    def schedule(self, delay_ms, action, *arguments):
        self.simulation.network.deliver(
            self.node,
            delay_ms,
            partial(action, *arguments),
        )

    def start(self):
        routed = self.exchange.routed
        if routed is not None:
            left_ms = routed.deadline_ms - self.simulation.clock.now_ms()
            self.schedule(left_ms, self.on_deadline)
        self.advance()

    def advance(self):
        if self.record.outcomes:
            return
        step = self.exchange.next_step(self.simulation.clock.now_ms())
        if isinstance(step, Finish):
            self.record.outcomes.append(step.outcome)
        elif isinstance(step, Wait):
            left_ms = step.until_ms - self.simulation.clock.now_ms()
            self.schedule(max(0, left_ms), self.advance)
        elif isinstance(step, Send):
            self.attempt += 1
            worker = self.simulation.workers[step.upstream.upstream_id]
            link = (self.node.node_id, worker.name)
            delay_ms = 0 if self.simulation.connections[link] else CONNECT_MS
            self.schedule(delay_ms, self.send, worker, self.attempt)

    def send(self, worker, attempt):
        if attempt != self.attempt or self.record.outcomes:
            return
        simulation = self.simulation
        now_ms = simulation.clock.now_ms()
        if not self.exchange.confirm_send(now_ms):
            self.advance()
            return
        simulation.connections[(self.node.node_id, worker.name)] += 1
        if self.ending == 'shed':
            self.schedule(1, self.end, AttemptState.SHED, attempt, worker, 0)
            return
        self.record.executions += 1
        self.request = RunningRequest(now_ms, self.node.node_id)
        worker.requests.append(self.request)
        if worker.is_silently_overloaded:
            # Like any cold worker, it fails only when it is overloaded.
            self.ending = 'lost'
        simulation.sent_requests.append(
            SentRecord(
                now_ms,
                self.node.node_id,
                worker.name,
                worker.zone,
                self.node.tables.revision,
                worker.running,
                worker.capacity,
                worker.silently_cold_since_ms,
                worker.draining_since_ms,
                *self.count_sent_since_detected(worker, now_ms),
            ),
        )
        delay_ms = DELAYS_MS.get(self.ending, SERVICE_MS)
        left_ms = self.exchange.routed.deadline_ms - now_ms
        # A worker cancels the request at the deadline sent with it.
        end = self.finish_on_worker if delay_ms < left_ms else self.cancel
        self.execution = (worker, worker.instance)
        simulation.clock.reactor.callLater(
            min(delay_ms, left_ms) / 1000,
            end,
            *((attempt,) if delay_ms < left_ms else ()),
        )

    def count_sent_since_detected(self, worker, now_ms):
        """Count running requests sent since the worker was detected as cold.

        Returns two counts: the requests of this node, 0 once it accepts warm
        claims again; and those of all nodes, sent since the update must have
        reached all of them.
        """
        node = self.node.node_id
        own_ms = worker.cold_detected_ms.get(node, -WARM_CLAIMS_IGNORED_MS)
        own = 0
        if now_ms - own_ms < WARM_CLAIMS_IGNORED_MS:
            own = worker.count_sent_since(own_ms, node)
        first_ms = min(worker.cold_detected_ms.values(), default=now_ms)
        return own, worker.count_sent_since(first_ms + UPDATE_DELAY_MS)

    def cancel(self):
        """End the request on the worker, as when its connection closes."""
        if self.execution is not None:
            worker, instance = self.execution
            self.execution = None
            if worker.instance == instance:
                worker.requests.remove(self.request)

    def finish_on_worker(self, attempt):
        if self.execution is None:
            return
        worker, instance = self.execution
        lost = self.ending == 'lost' or worker.instance != instance
        self.cancel()
        if not lost and self.ending != 'fail':
            worker.completed += 1
        if worker.completed >= 4 * COLD_LIMIT:
            worker.cold = False
        state = AttemptState.LOST if lost else AttemptState.ANSWERED
        self.schedule(0, self.end, state, attempt, worker, instance)

    def end(self, state, attempt, worker, instance):
        if attempt != self.attempt or self.record.outcomes:
            return
        now_ms = self.simulation.clock.now_ms()
        lost = state is AttemptState.LOST
        if lost and worker.silently_cold_since_ms is not None:
            worker.cold_detected_ms[self.node.node_id] = now_ms
        if not lost:
            self.exchange.report(worker.report(), now_ms)
        if state is AttemptState.ANSWERED:
            self.exchange.begin_response()
        failed = self.ending == 'fail' and not lost
        self.exchange.end(
            AttemptResult(state, failed, connection_died=lost),
            now_ms,
        )
        self.advance()

    def on_deadline(self):
        if not self.record.outcomes:
            self.exchange.abandon(self.simulation.clock.now_ms())
            self.cancel()
            self.attempt += 1
            self.advance()
