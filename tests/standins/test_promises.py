"""The checks of the demo report each kind of broken promise.

Guards against a demo that passes although figdoor misreported a request.
"""

import pytest

from figdoor_standins.demo.promises import broken_promises
from figdoor_standins.demo.run import DemoRun, Start


def record(request_id, outcome='answered', direct=False, **fields):
    return {
        'direct': direct,
        'idempotent': fields.pop('idempotent', True),
        'told': outcome,
        'tries': [
            {
                'id': request_id,
                'told': outcome,
                'own_answer': True,
                **fields,
            },
        ],
    }


def start(request_id, at_ms=100, zone='z1'):
    return Start('w1', zone, request_id, at_ms)


def make_run(*records, runs=(), **fields):
    fields.setdefault('resets', [start('r')])
    return DemoRun(
        records=[record('r'), record('d', direct=True), *records],
        runs=[start('r'), *runs],
        zone_out='z2',
        zone_out_ms=1000,
        zone_back_ms=9000,
        listed_s={'w1': 10},
        probes_per_s=2,
        **fields,
    )


class TestBrokenPromises:
    def test_run_that_keeps_all_promises_gives_no_line(self):
        order = record('o', idempotent=False)
        within_limit = start('o', 3999, 'z2')
        assert not broken_promises(make_run(order, runs=[within_limit]))

    @pytest.mark.parametrize(
        ('run', 'text'),
        [
            (
                make_run(
                    record('o', idempotent=False),
                    runs=[start('o'), start('o')],
                ),
                'ran twice',
            ),
            (
                make_run(record('x', 'not-run'), runs=[start('x')]),
                "'not-run' ran",
            ),
            (make_run(record('x')), 'did not run'),
            (
                make_run(record('x', own_answer=False), runs=[start('x')]),
                "caller's own",
            ),
            (make_run(runs=[start('x', 4001, 'z2')]), 'after 3 s'),
            (make_run(probes=[start('')] * 23), 'budget 22'),
            (make_run(exit_codes=[1]), 'exit codes'),
            (DemoRun(), 'nothing was answered'),
            (make_run(resets=[]), 'no order was reset'),
        ],
    )
    def test_each_broken_promise_is_reported(self, run, text):
        assert text in '\n'.join(broken_promises(run))

    def test_attempts_of_an_order_count_together(self):
        order = record('o-0', 'unknown', idempotent=False)
        order['tries'] += record('o-1')['tries']
        run = make_run(order, runs=[start('o-0'), start('o-1')])
        assert any('ran twice' in line for line in broken_promises(run))
