"""Reading and checking of the two tables."""

from pathlib import Path

import pytest
from returns.pipeline import is_successful
from support import POOLS, ROUTES

from figdoor_kernel import Revision
from figdoor_tables import read_tables

EXAMPLES = Path(__file__).parents[2] / 'examples'

WRONG_ROUTES = """\
route, authority, path_prefix, operations, pool, idempotent, tenant, deadline_ms, retry_percent
a,     *,         orders,      GET,        work, GET,        t1,     1000,        20
b,     *,         /b,          GET,        nope, GET,        t1,     1000,        20
c,     *,         /c,          GET,        work, POST,       t1,     0,           20
c,     *,         /d,          GET,        work, GET,        t1,     1000,        20
"""

WRONG_POOLS = """\
pool, service, availability_zones, slots, connections, cold_limit, probes_per_s
work, work,    z1,                 6,     250,         7,          2
"""


def findings_of(routes, pools):
    return [
        str(one) for one in read_tables(Revision(1), routes, pools).failure()
    ]


class TestReadTables:
    @pytest.mark.parametrize('name', ['fountain-dispatch', 'maillots'])
    def test_examples_have_no_findings(self, name):
        folder = EXAMPLES / name
        routes = (folder / 'routes.csv').read_text(encoding='utf-8')
        pools = (folder / 'pools.csv').read_text(encoding='utf-8')
        assert is_successful(read_tables(Revision(1), routes, pools))

    def test_six_mistakes_are_reported_together_with_their_places(self):
        found = findings_of(WRONG_ROUTES, WRONG_POOLS)
        places = {line.partition(': ')[0] for line in found}
        assert places == {
            'routes:2:path_prefix',
            'routes:3:pool',
            'routes:4:deadline_ms',
            'routes:4:idempotent',
            'routes:5:route',
            'pools:2:cold_limit',
        }

    def test_unknown_and_missing_columns_are_found(self):
        found = findings_of(ROUTES, 'pool, colour\n')
        assert any(line.startswith('pools:1:colour') for line in found)
        assert any(line.startswith('pools:1:slots') for line in found)

    def test_row_star_bounds_the_availability_zones_of_every_pool(self):
        bounded = POOLS.replace('*,    ,        z1 z2', '*,    ,        z2')
        tables = read_tables(Revision(1), ROUTES, bounded).unwrap()
        assert tables.pools['work'].availability_zones == {'z2'}
