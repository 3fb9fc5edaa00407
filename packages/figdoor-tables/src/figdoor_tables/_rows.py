"""Rows of one table text, read cell by cell, with all findings."""

import csv
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from returns.result import Failure, Success

from figdoor_kernel import ANY, Finding, Place
from figdoor_tables._columns import Column

REMARK_MARK = '#'
MAX_TABLE_BYTES = 1_000_000


@dataclass(frozen=True, slots=True)
class Row:
    """One row: its line number and its cells as typed values.

    Cells that could not be read are left out, so that the others can still
    be checked and all findings are reported together. ``notes`` are pairs of
    a column and what is wrong with its cell.
    """

    line: int
    cells: Mapping[str, Any]
    notes: tuple[tuple[str, str], ...] = ()

    def has(self, *names: str) -> bool:
        """Return whether all these cells could be read."""
        return all(name in self.cells for name in names)

    @property
    def is_bound(self) -> bool:
        """Whether this is the row ``*`` of the pools table."""
        return self.cells.get('pool') == ANY and 'route' not in self.cells


@dataclass(slots=True)
class ReadRows:
    """The rows of one table, and all findings about them."""

    table: str
    rows: list[Row] = field(default_factory=list)
    findings: list[Finding] = field(default_factory=list)

    def note(self, line: int, column: str, message: str) -> None:
        """Add a finding."""
        place = Place(self.table, line, column)
        self.findings.append(Finding(place, message))


class RowReader:
    """Reads a table again and again, and only its changed rows anew.

    A change of configuration usually touches one row of some thousands.
    Rows that stood in the text read last are taken over by their cells' text.
    """

    def __init__(self, table: str, columns: Sequence[Column]) -> None:
        """Read a table with these columns."""
        self._table = table
        self._columns = columns
        self._names: list[str] = []
        self._known: dict[tuple[str, ...], Row] = {}

    def read(self, text: str) -> ReadRows:
        """Read a CSV text against the columns.

        The first line that is neither empty nor a remark names the columns,
        in any order. Spaces around cells do not count.
        """
        read = ReadRows(self._table)
        if len(text.encode()) > MAX_TABLE_BYTES:
            read.note(0, '', f'is longer than {MAX_TABLE_BYTES} bytes')
            return read
        lines = _lines(read, text)
        header = next(lines, None)
        if header is None:
            read.note(0, '', 'is empty; the first line must name the columns')
        elif _check_header(read, header, self._columns):
            self._read_rows(read, header[1], lines)
        return read

    def _read_rows(
        self,
        read: ReadRows,
        names: list[str],
        lines: Iterator[tuple[int, list[str]]],
    ) -> None:
        known = self._known if names == self._names else {}
        self._names = names
        self._known = {}
        for line, texts in lines:
            key = tuple(texts)
            row = known.get(key)
            if row is None:
                row = _read_row(line, texts, names, self._columns)
            elif row.line != line:
                row = Row(line, row.cells, row.notes)
            self._known[key] = row
            read.rows.append(row)
            for column, message in row.notes:
                read.note(line, column, message)


def _lines(read: ReadRows, text: str) -> Iterator[tuple[int, list[str]]]:
    reader = csv.reader(text.splitlines(), skipinitialspace=True, strict=True)
    try:
        for raw_cells in reader:
            cells = list(map(str.strip, raw_cells))
            if any(cells) and not cells[0].startswith(REMARK_MARK):
                yield reader.line_num, cells
    except csv.Error as error:
        read.note(reader.line_num, '', f'cannot be read as CSV: {error}')


def _check_header(
    read: ReadRows,
    header: tuple[int, list[str]],
    columns: Sequence[Column],
) -> bool:
    line, names = header
    known = [column.name for column in columns]
    for name in names:
        if name not in known:
            read.note(line, name, f'unknown column; known: {", ".join(known)}')
        if names.count(name) > 1:
            read.note(line, name, 'column named twice')
    missing = [name for name in known if name not in names]
    for name in missing:
        read.note(line, name, 'column missing')
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
    notes = []
    for column in columns:
        text = by_name[column.name]
        if _is_left_out(by_name, column.name, text):
            continue
        match column.read(text):
            case Success(cell):
                cells[column.name] = cell
            case Failure(message):
                notes.append((column.name, message))
    return Row(line, cells, tuple(notes))


def _is_left_out(by_name: dict[str, str], name: str, text: str) -> bool:
    """Tell whether the row ``*`` of the pools table leaves this cell empty."""
    is_bound = by_name.get('pool') == ANY and 'slots' in by_name
    return is_bound and not text and name != 'availability_zones'
