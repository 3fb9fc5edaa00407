"""Reader of the rows of one table, which collects all findings."""

import csv
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from returns.result import Failure, Success

from figdoor_kernel import ANY, Finding, Place
from figdoor_tables._columns import Column

COMMENT_PREFIX = '#'
MAX_TABLE_BYTES = 1_000_000


@dataclass(frozen=True, slots=True)
class Row:
    """One row: its line number and its cells as typed values.

    Invalid cells are left out, so that the others can still be checked and
    all findings are reported together. ``errors`` are pairs of a column and
    a message.
    """

    line: int
    cells: Mapping[str, Any]
    errors: tuple[tuple[str, str], ...] = ()

    def has(self, *names: str) -> bool:
        """Return whether all these cells are valid."""
        return all(name in self.cells for name in names)

    @property
    def is_fleet_row(self) -> bool:
        """Whether this is the row ``*`` of the pools table."""
        return self.cells.get('pool') == ANY and 'route' not in self.cells


@dataclass(slots=True)
class ParsedTable:
    """The rows of one table and all findings about them."""

    table: str
    rows: list[Row] = field(default_factory=list)
    findings: list[Finding] = field(default_factory=list)

    def add_finding(self, line: int, column: str, message: str) -> None:
        """Add a finding; see ``Place`` for line 0 and an empty column."""
        place = Place(self.table, line, column)
        self.findings.append(Finding(place, message))


class RowReader:
    """Reads versions of a table and parses only the rows that changed.

    A configuration change usually affects one row of some thousands. Rows
    whose cells have the same text as in the previous version are reused.
    """

    def __init__(self, table: str, columns: Sequence[Column]) -> None:
        """Create a reader for a table with these columns."""
        self._table = table
        self._columns = columns
        self._names: list[str] = []
        self._previous: dict[tuple[str, ...], Row] = {}

    def read(self, text: str) -> ParsedTable:
        """Read a table in CSV.

        The first line that is neither empty nor a comment names the columns,
        in any order. Spaces around cells are ignored.
        """
        parsed = ParsedTable(self._table)
        if len(text.encode()) > MAX_TABLE_BYTES:
            parsed.add_finding(0, '', f'is longer than {MAX_TABLE_BYTES} bytes')
            return parsed
        lines = _lines(parsed, text)
        header = next(lines, None)
        if header is None:
            parsed.add_finding(
                0, '', 'is empty; the first line must name the columns'
            )
        elif _check_header(parsed, header, self._columns):
            self._read_rows(parsed, header[1], lines)
        return parsed

    def _read_rows(
        self,
        parsed: ParsedTable,
        names: list[str],
        lines: Iterator[tuple[int, list[str]]],
    ) -> None:
        previous = self._previous if names == self._names else {}
        self._names = names
        self._previous = {}
        for line, texts in lines:
            key = tuple(texts)
            row = previous.get(key)
            if row is None:
                row = _read_row(line, texts, names, self._columns)
            elif row.line != line:
                row = Row(line, row.cells, row.errors)
            self._previous[key] = row
            parsed.rows.append(row)
            for column, message in row.errors:
                parsed.add_finding(line, column, message)


def _lines(parsed: ParsedTable, text: str) -> Iterator[tuple[int, list[str]]]:
    reader = csv.reader(text.splitlines(), skipinitialspace=True, strict=True)
    try:
        for raw_cells in reader:
            cells = list(map(str.strip, raw_cells))
            if any(cells) and not cells[0].startswith(COMMENT_PREFIX):
                yield reader.line_num, cells
    except csv.Error as error:
        parsed.add_finding(
            reader.line_num, '', f'cannot be read as CSV: {error}'
        )


def _check_header(
    parsed: ParsedTable,
    header: tuple[int, list[str]],
    columns: Sequence[Column],
) -> bool:
    line, names = header
    expected = [column.name for column in columns]
    for name in names:
        if name not in expected:
            parsed.add_finding(
                line, name, f'unknown column; known: {", ".join(expected)}'
            )
        if names.count(name) > 1:
            parsed.add_finding(line, name, 'column named twice')
    missing = [
        column.name
        for column in columns
        if column.name not in names and column.default is None
    ]
    for name in missing:
        parsed.add_finding(line, name, 'column missing')
    return not missing


def _read_row(
    line: int,
    texts: Sequence[str],
    names: Sequence[str],
    columns: Sequence[Column],
) -> Row:
    if len(texts) != len(names):
        message = f'has {len(texts)} cells, not {len(names)}'
        return Row(line, {}, (('', message),))
    by_name = dict(zip(names, texts, strict=True))
    cells: dict[str, Any] = {}
    errors = []
    for column in columns:
        text = by_name.get(column.name, column.default or '')
        if _is_omitted(by_name, column.name, text):
            continue
        match column.read(text):
            case Success(cell):
                cells[column.name] = cell
            case Failure(message):
                errors.append((column.name, message))
    return Row(line, cells, tuple(errors))


def _is_omitted(by_name: dict[str, str], name: str, text: str) -> bool:
    """Return whether the row ``*`` of the pools table omits this cell.

    Both tables have a column ``pool``, but only the pools have ``slots``.
    """
    is_fleet_row = by_name.get('pool') == ANY and 'slots' in by_name
    return is_fleet_row and not text and name != 'availability_zones'
