"""The demo's verdict: each broken promise must be noticed."""

import pytest

from figdoor_standins.demo.promises import broken_promises
from figdoor_standins.demo.run import DemoRun, Start


def record(request_id, told='answered', direct=False, **fields):
    return {
        'direct': direct,
        'idempotent': fields.pop('idempotent', True),
        'told': told,
        'tries': [
            {'id': request_id, 'told': told, 'own_answer': True, **fields},
        ],
    }


def start(request_id, at_ms=100, zone='z1'):
    return Start('w1', zone, request_id, at_ms)


def kept(*records, runs=(), **fields):
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
    def test_kept_promises_give_no_line(self):
        order = record('o', idempotent=False)
        just_in_time = start('o', 3999, 'z2')
        assert not broken_promises(kept(order, runs=[just_in_time]))

    @pytest.mark.parametrize(
        ('run', 'text'),
        [
            (
                kept(
                    record('o', idempotent=False),
                    runs=[start('o'), start('o')],
                ),
                'ran twice',
            ),
            (kept(record('x', 'not-run'), runs=[start('x')]), "'not-run' ran"),
            (kept(record('x')), 'did not run'),
            (
                kept(record('x', own_answer=False), runs=[start('x')]),
                "caller's own",
            ),
            (kept(runs=[start('x', 4001, 'z2')]), 'after 3 s'),
            (kept(probes=[start('')] * 23), 'budget 22'),
            (kept(exit_codes=[1]), 'exit codes'),
            (DemoRun(), 'nothing was answered'),
            (kept(resets=[]), 'no order was reset'),
        ],
    )
    def test_each_broken_promise_is_told(self, run, text):
        assert text in '\n'.join(broken_promises(run))

    def test_order_resent_under_another_id_counts_as_the_same_order(self):
        order = record('o-0', 'unknown', idempotent=False)
        order['tries'] += record('o-1')['tries']
        run = kept(order, runs=[start('o-0'), start('o-1')])
        assert any('ran twice' in line for line in broken_promises(run))
