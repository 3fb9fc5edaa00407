"""Line-based differences between two versions of a table text.

``apply_changes`` reproduces the newer text exactly, with its comments,
spacing and order of lines, since operators are shown the published text.
"""

import difflib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import takewhile

_LINE_END = '\n'
# The time to compare two regions grows with the product of their lengths.
# Above this product the whole region is replaced, which sends more bytes.
MAX_COMPARED_PRODUCT = 250_000


@dataclass(frozen=True, slots=True)
class Change:
    """Replaces ``removed`` lines from ``start`` on by the lines ``added``.

    The lines of the older text are numbered from 0; comments and empty lines
    are counted.
    """

    start: int
    removed: int
    added: tuple[str, ...] = ()


def difference(old: str, new: str) -> tuple[Change, ...]:
    r"""Return the changes from the older text to the newer one.

    >>> difference('a\nb\nc', 'a\nx\nc')
    (Change(start=1, removed=1, added=('x',)),)
    """
    before = old.split(_LINE_END)
    after = new.split(_LINE_END)
    head = _common_length(before, after)
    # The equal lines at the end must not overlap those at the start.
    tail_limit = min(len(before), len(after)) - head
    tail = min(tail_limit, _common_length(reversed(before), reversed(after)))
    return _changes_between(
        before[head : len(before) - tail],
        after[head : len(after) - tail],
        head,
    )


def apply_changes(old: str, changes: Iterable[Change]) -> str:
    """Return the newer text; raise ``ValueError`` if changes do not fit.

    The changes must be in the order of their lines and must not overlap.
    """
    before = old.split(_LINE_END)
    after: list[str] = []
    copied = 0
    for change in changes:
        end = change.start + change.removed
        if change.start < copied or end > len(before):
            raise ValueError(
                f'change at line {change.start} does not fit the text'
            )
        after += before[copied : change.start]
        after += change.added
        copied = end
    after += before[copied:]
    return _LINE_END.join(after)


def _changes_between(
    before: Sequence[str],
    after: Sequence[str],
    offset: int,
) -> tuple[Change, ...]:
    """Return the changes between regions without a common start or end."""
    if not before and not after:
        return ()
    if len(before) * len(after) > MAX_COMPARED_PRODUCT:
        return (Change(offset, len(before), tuple(after)),)
    matcher = difflib.SequenceMatcher(None, before, after, autojunk=False)
    return tuple(
        Change(offset + start, end - start, tuple(after[added:added_end]))
        for kind, start, end, added, added_end in matcher.get_opcodes()
        if kind != 'equal'
    )


def _common_length(first: Iterable[str], second: Iterable[str]) -> int:
    """Return the number of equal lines at the start."""
    pairs = zip(first, second, strict=False)
    return sum(1 for _ in takewhile(_is_equal, pairs))


def _is_equal(lines: tuple[str, str]) -> bool:
    return lines[0] == lines[1]
