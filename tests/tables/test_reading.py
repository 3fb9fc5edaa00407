"""Reading and checking of the two tables."""

from pathlib import Path

import pytest
from returns.pipeline import is_successful
from support import POOLS, ROUTES, WRONG_POOLS, WRONG_ROUTES

from figdoor_kernel import Revision
from figdoor_tables import TablesReader, read_tables

EXAMPLES = Path(__file__).parents[2] / 'examples'


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


class TestTablesReader:
    def test_changed_rows_are_never_served_from_the_rows_read_before(self):
        reader = TablesReader()
        for deadline_ms in range(1000, 1100):
            routes = ROUTES.replace('1000', str(deadline_ms))
            tables = reader.read(Revision(deadline_ms), routes, POOLS).unwrap()
            assert {route.deadline_ms for route in tables.routes} == {
                deadline_ms,
            }

    def test_moved_rows_are_reported_at_their_new_place(self):
        reader = TablesReader()
        reader.read(Revision(1), ROUTES, POOLS)
        wrong = ROUTES.replace('work, GET', 'nope, GET')
        first = reader.read(Revision(2), wrong, POOLS).failure()
        second = reader.read(Revision(3), f'# remark\n{wrong}', POOLS).failure()
        assert second[0].place.row == first[0].place.row + 1
