"""``check``: validates tables as a node would, before they are published."""

from collections.abc import Sequence
from pathlib import Path
from typing import TextIO

from returns.result import Failure, Success

from figdoor_ctl.command import Command, print_usage
from figdoor_ctl.exits import ExitCode
from figdoor_kernel import Revision, render_findings
from figdoor_tables import (
    POOLS_TABLE,
    ROUTES_TABLE,
    TENANTS_TABLE,
    read_tables,
)

_DESCRIPTION = """\
Validates the tables before they are published and prints each finding with
its place: the table, the row and the column. The name of each file must
contain "routes", "pools" or "tenants", for the table that the file holds. The
tenants table is optional.

Exit codes: 0 no findings, 1 findings, 2 wrong usage or an unreadable file."""


def check(arguments: Sequence[str], out: TextIO) -> ExitCode:
    """Print every finding of the tables with its place."""
    texts: dict[str, str] = {}
    for argument in arguments:
        table = _table_of(argument)
        if table is None or table in texts:
            return print_usage(CHECK.usage, out)
        try:
            texts[table] = Path(argument).read_text(encoding='utf-8')
        except (OSError, UnicodeDecodeError) as error:
            out.write(f'{argument}: cannot be read: {error}\n')
            return ExitCode.USAGE
    if not {ROUTES_TABLE, POOLS_TABLE} <= texts.keys():
        return print_usage(CHECK.usage, out)
    return _print_findings(texts, out)


def _print_findings(texts: dict[str, str], out: TextIO) -> ExitCode:
    match read_tables(
        Revision(0),
        texts[ROUTES_TABLE],
        texts[POOLS_TABLE],
        texts.get(TENANTS_TABLE, ''),
    ):
        case Success(tables):
            counts = f'{len(tables.routes)} routes, {len(tables.pools)} pools'
            if tables.needs_key:
                counts = f'{counts}, {len(tables.tenants)} tenants'
            out.write(f'fine: {counts}\n')
            return ExitCode.OK
        case Failure(findings):
            out.write(f'{render_findings(findings)}\n')
    return ExitCode.FINDINGS


def _table_of(path: str) -> str | None:
    name = Path(path).name
    for table in (ROUTES_TABLE, POOLS_TABLE, TENANTS_TABLE):
        if table in name:
            return table
    return None


CHECK = Command(
    'check',
    'ROUTES.csv POOLS.csv [TENANTS.csv]',
    'check the tables before they are published',
    _DESCRIPTION,
    check,
)
