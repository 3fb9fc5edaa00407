"""Nodes of a store deployment whose upstreams answer probes."""

from support import ManualClock, store_node

from figdoor_kernel import (
    Call,
    CallerLimits,
    Dispatcher,
    Fingerprint,
    InstanceId,
    LoadReport,
    Pool,
    ProbeEnded,
    ProbeRequested,
    ReportSeen,
    Route,
    Tables,
    TablesRead,
    UpstreamId,
    UpstreamsRead,
    Vm,
    VmState,
)

ANY = frozenset(('*',))


def pool(name='work', cold_per_s=6.0):
    return Pool(name, name, ANY, 0, 240, 0, 0, cold_per_s, '/health')


def route(name='r', prefix='/', idempotent=True, **changes):
    fields = {'objective_ms': 400, 'max_attempts': 3, **changes}
    return Route(
        name,
        'any.example',
        prefix,
        frozenset(),
        'work',
        ANY if idempotent else frozenset(),
        name,
        '',
        2000,
        0,
        **fields,
    )


def store_tables(revision=1, routes=(), pools=(), evacuated=()):
    return Tables(
        revision,
        tuple(routes) or (route(),),
        {row.name: row for row in (tuple(pools) or (pool(),))},
        caller_limits=CallerLimits(),
        evacuated=frozenset(evacuated),
    )


def worker(name, zone='z1', state=VmState.LIVE, warm_at_ms=0, instance='1'):
    return Vm(
        name, 'work', zone, '10.0.0.1', 80, state, instance, 6, warm_at_ms
    )


class StoreNode:
    """A node, and the loads that its upstreams report when probed.

    ``probed`` lists the upstreams whose probes have not been answered yet,
    ``wakeups`` the times at which a waiting call was told to continue.
    """

    def __init__(self, *workers, zone='z1', tables=None, **options):
        self.clock = ManualClock()
        self.node = store_node(clock=self.clock, zone=zone, **options)
        self.loads = {}
        self.probed = []
        self.wakeups = []
        self.node.events.subscribe(ProbeRequested, self._on_probe)
        self.publish_workers(*workers)
        self.publish_tables(tables or store_tables())
        self.dispatcher = Dispatcher(self.node)

    @property
    def now_ms(self):
        return self.clock.now_ms()

    def publish_workers(self, *workers):
        self.node.events.publish(UpstreamsRead(tuple(workers), self.now_ms))

    def publish_tables(self, tables):
        self.node.events.publish(TablesRead(tables, self.now_ms))

    def set_load(self, name, running=0, waiting=0, slowness=1, cold_ms=0):
        self.loads[name] = LoadReport(
            InstanceId(name), running, False, waiting, 6, slowness, cold_ms
        )

    def answer_probes(self):
        """Answer pending probes, except those of upstreams without a load."""
        pending, self.probed = self.probed, []
        for name in pending:
            report = self.loads.get(name)
            if report is not None:
                self.node.events.publish(
                    ReportSeen(UpstreamId(name), report, self.now_ms)
                )
                self.node.events.publish(
                    ProbeEnded(UpstreamId(name), 1, True, self.now_ms)
                )

    def open(self, path='/x', fingerprint=1, time_left_ms=2000):
        call = Call(
            'GET',
            'any.example',
            path,
            Fingerprint(fingerprint),
            time_left_ms,
        )
        return self.dispatcher.open(
            call, self.now_ms, lambda: self.wakeups.append(self.now_ms)
        )

    def next_step(self, exchange=None):
        """Return the next step of a call, once load probes are answered."""
        exchange = exchange or self.open()
        step = exchange.next_step(self.now_ms)
        self.answer_probes()
        self.clock.advance_ms(2)
        return exchange.next_step(self.now_ms) if self.wakeups else step

    def _on_probe(self, event):
        self.probed.append(event.upstream)
