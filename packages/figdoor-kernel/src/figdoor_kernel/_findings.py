"""Validation findings about tables, settings and traces, with their place."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Place:
    """The position of a finding: a source, and a row and column in it.

    Row 0 stands for the whole source, row 1 for its first line. The column
    is empty if the finding concerns the whole row.
    """

    source: str
    row: int = 0
    column: str = ''

    def __str__(self) -> str:
        """Return the place in the form ``pools:3:slots``."""
        parts = [self.source]
        if self.row:
            parts.append(str(self.row))
        if self.column:
            parts.append(self.column)
        return ':'.join(parts)


@dataclass(frozen=True, slots=True)
class Finding:
    """One mistake in the input and its place."""

    place: Place
    message: str

    def __str__(self) -> str:
        """Return the place and the message as one line."""
        return f'{self.place}: {self.message}'


def render_findings(findings: Iterable[Finding]) -> str:
    """Return the findings one per line, in the given order."""
    return '\n'.join(str(finding) for finding in findings)
