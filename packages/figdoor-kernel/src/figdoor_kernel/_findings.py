"""Findings about something an operator wrote, with their place."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Place:
    """Where a finding was made: a source, a row and a column of it.

    Row 0 stands for the source as a whole, row 1 for the header line. The
    column is empty where a finding concerns the whole row.
    """

    source: str
    row: int = 0
    column: str = ''

    def __str__(self) -> str:
        """Render the place as ``pools:3:slots``."""
        parts = [self.source]
        if self.row:
            parts.append(str(self.row))
        if self.column:
            parts.append(self.column)
        return ':'.join(parts)


@dataclass(frozen=True, slots=True)
class Finding:
    """One mistake, told with its place."""

    place: Place
    message: str

    def __str__(self) -> str:
        """Render the finding as one line."""
        return f'{self.place}: {self.message}'


def render_findings(findings: Iterable[Finding]) -> str:
    """Return all findings, one a line, in the order they were made."""
    return '\n'.join(str(finding) for finding in findings)
