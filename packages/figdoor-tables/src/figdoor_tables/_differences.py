"""Differences between two versions of a table text, by rows.

The result of ``apply_changes`` is the newer text to the letter, with its
remarks, spacing and order of rows, since operators are shown what was
published.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from difflib import SequenceMatcher
from itertools import takewhile

_LINE_END = '\n'
# Finding the smallest difference takes time with the product of both lengths;
# above this a whole region is replaced, at more bytes.
MAX_COMPARED = 250_000


@dataclass(frozen=True, slots=True)
class Change:
    """At row ``start`` of the older text, ``removed`` rows become ``added``.

    Rows are counted from 0, with remarks and empty lines.
    """

    start: int
    removed: int
    added: tuple[str, ...] = ()


def difference(old: str, new: str) -> tuple[Change, ...]:
    r"""Return the changes that lead from one text to the other.

    >>> difference('a\nb\nc', 'a\nx\nc')
    (Change(start=1, removed=1, added=('x',)),)
    """
    before = old.split(_LINE_END)
    after = new.split(_LINE_END)
    head = _common(before, after)
    shortest = min(len(before), len(after)) - head
    tail = min(shortest, _common(reversed(before), reversed(after)))
    return _middle(
        before[head : len(before) - tail],
        after[head : len(after) - tail],
        head,
    )


def apply_changes(old: str, changes: Iterable[Change]) -> str:
    """Return the newer text; raises ``ValueError`` where changes do not fit.

    The changes must be in the order of their rows and must not overlap.
    """
    before = old.split(_LINE_END)
    after: list[str] = []
    done = 0
    for change in changes:
        end = change.start + change.removed
        if change.start < done or end > len(before):
            raise ValueError(f'change at row {change.start} does not fit')
        after += before[done : change.start]
        after += change.added
        done = end
    after += before[done:]
    return _LINE_END.join(after)


def _middle(
    before: Sequence[str],
    after: Sequence[str],
    offset: int,
) -> tuple[Change, ...]:
    """Return the changes between rows that differ at both ends."""
    if not before and not after:
        return ()
    if len(before) * len(after) > MAX_COMPARED:
        return (Change(offset, len(before), tuple(after)),)
    matcher = SequenceMatcher(None, before, after, autojunk=False)
    return tuple(
        Change(offset + start, end - start, tuple(after[added:added_end]))
        for kind, start, end, added, added_end in matcher.get_opcodes()
        if kind != 'equal'
    )


def _common(first: Iterable[str], second: Iterable[str]) -> int:
    """Return how many rows both have in common at the start."""
    pairs = zip(first, second, strict=False)
    return sum(1 for _ in takewhile(_is_same, pairs))


def _is_same(rows: tuple[str, str]) -> bool:
    return rows[0] == rows[1]
