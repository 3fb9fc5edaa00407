"""Callers behind a load balancer: bounded open-loop load on several gateways.

``python -m figdoor_standins.callers --plan plan.json --records out.jsonl``
sends requests at the plan's rate, however slow the responses, and writes one
record per request with its outcome and latency. Requests prefer gateways whose
``/readyz`` returns 200; the plan's ``stale_share`` of them goes to any gateway,
as from a load balancer with stale health checks. A request that was not sent,
or an idempotent one that was lost, is retried once at another gateway. A lost
request that is not idempotent is never retried. Each attempt has its own id.
"""

import json
import random
from pathlib import Path

from absl import app, flags
from twisted.internet import reactor
from twisted.internet.defer import Deferred, DeferredList, ensureDeferred
from twisted.internet.task import LoopingCall

from figdoor_standins.clock import clock_ms
from figdoor_standins.load_client import Ending, LoadClient, render_request

FLAGS = flags.FLAGS
flags.DEFINE_string('plan', None, 'file with the plan as JSON', required=True)
flags.DEFINE_string('records', None, 'file to write', required=True)

READY_POLL_S = 0.1
MIN_RATE_SHARE = 0.1
UNKNOWN = 'unknown'


def rate_at(plan, elapsed_s):
    """Return requests per second: a linear ramp, then the full rate."""
    share = min(1, elapsed_s / plan['ramp_s']) if plan['ramp_s'] else 1
    return plan['rate_per_s'] * max(MIN_RATE_SHARE, share)


def outcome_of(reply, direct):
    """Return the outcome that a reply states to its caller."""
    if reply.ending is Ending.UNSENT:
        return 'not-run'
    if reply.ending is Ending.LOST:
        return UNKNOWN
    if direct:
        return 'answered' if reply.status == 200 else UNKNOWN
    return reply.headers.get('figdoor-outcome', UNKNOWN)


class Callers:
    """Sends the requests of the plan and records each of them."""

    def __init__(self, plan):
        self.plan = plan
        self.random = random.Random(plan['seed'])
        self.client = LoadClient()
        self.gateways = [tuple(gateway) for gateway in plan['gateways']]
        self.ready = list(self.gateways)
        self.records = []
        self.pending = set()
        self.sent = 0
        self.done = Deferred()

    def start(self):
        """Start; returns a ``Deferred`` that fires once all requests ended."""
        self.started_s = reactor.seconds()
        LoopingCall(self.poll_ready).start(READY_POLL_S)
        self.next_request()
        return self.done

    def next_request(self):
        elapsed_s = reactor.seconds() - self.started_s
        plan = self.plan
        if elapsed_s > plan['duration_s'] or self.sent >= plan['max_requests']:
            DeferredList(list(self.pending)).chainDeferred(self.done)
            return
        self.sent += 1
        request = ensureDeferred(self.call(self.sent))
        self.pending.add(request)
        request.addBoth(lambda _: self.pending.discard(request))
        gap_s = self.random.expovariate(rate_at(plan, elapsed_s))
        reactor.callLater(gap_s, self.next_request)

    async def call(self, number):
        kinds = self.plan['kinds']
        weights = [kind['weight'] for kind in kinds]
        kind = self.random.choices(kinds, weights)[0]
        direct = bool(kind.get('direct'))
        tenant = self.random.choice(kind['tenants'])
        started_ms = clock_ms()
        attempts = []
        for target in self.targets(kind):
            request_id = f'{kind["route"]}-{number}-{len(attempts)}'
            attempts.append(
                await self.attempt(kind, tenant, target, request_id)
            )
            ending = attempts[-1]['ending']
            should_retry = ending == 'unsent' or (
                ending == 'lost' and kind['idempotent']
            )
            if not should_retry:
                break
        self.records.append(
            {
                'route': kind['route'],
                'tenant': tenant,
                'direct': direct,
                'idempotent': kind['idempotent'],
                'started_ms': started_ms,
                'latency_ms': clock_ms() - started_ms,
                'told': attempts[-1]['told'],
                'tries': attempts,
            },
        )

    def targets(self, kind):
        """Return up to two targets, ready gateways first."""
        if kind.get('direct'):
            return [tuple(kind['direct'])]
        shuffled = self.random.sample(self.gateways, len(self.gateways))
        if self.random.random() < self.plan['stale_share']:
            return shuffled[:2]
        return sorted(shuffled, key=lambda gateway: gateway not in self.ready)[
            :2
        ]

    async def attempt(self, kind, tenant, target, request_id):
        path = f'{kind["path"]}/{request_id}'
        headers = {
            'host': kind['host'],
            'x-figdoor-tenant': tenant,
            'x-request-id': request_id,
        }
        body = b'' if kind['idempotent'] else request_id.encode()
        request = render_request(kind['method'], path, headers, body)
        reply = await self.client.request(target[:2], request)
        outcome = outcome_of(reply, bool(kind.get('direct')))
        echo = f'{kind["method"]} {path}\n'.encode() + body
        return {
            'id': request_id,
            'gateway': target[1],
            'ending': reply.ending.value,
            'status': reply.status,
            'told': outcome,
            'reason': reply.headers.get('figdoor-reason', ''),
            'own_answer': outcome != 'answered'
            or (
                reply.body == echo
                and reply.headers.get('x-request-id') == request_id
            ),
        }

    def poll_ready(self):
        for gateway in self.gateways:
            ensureDeferred(self.check_ready(gateway))

    async def check_ready(self, gateway):
        request = render_request('GET', '/readyz', {'host': 'operator'})
        reply = await self.client.request((gateway[0], gateway[2]), request, 1)
        is_ready = reply.status == 200
        if is_ready and gateway not in self.ready:
            self.ready.append(gateway)
        if not is_ready and gateway in self.ready:
            self.ready.remove(gateway)


def main(_):
    """Run the plan and write the records."""
    callers = Callers(json.loads(Path(FLAGS.plan).read_text('utf-8')))

    def finish(_):
        with open(FLAGS.records, 'w', encoding='utf-8') as out:
            out.writelines(
                f'{json.dumps(record)}\n' for record in callers.records
            )
        reactor.stop()

    reactor.callWhenRunning(lambda: callers.start().addBoth(finish))
    reactor.run()


if __name__ == '__main__':
    app.run(main)
