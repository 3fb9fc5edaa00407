"""Differences between two versions of a table text."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support import POOLS, ROUTES

from figdoor_tables import Change, apply_changes, difference

rows = st.lists(
    st.sampled_from(['a,1', 'b,2', '# x', '', 'é\u2028,3', 'r\r']),
    max_size=12,
)


class TestDifference:
    """Guards against texts on a peer that differ from the published ones."""

    @given(rows, rows, st.sampled_from(['', '\n', '\r\n']))
    def test_applied_difference_gives_the_newer_text(self, old, new, end):
        old_text = '\n'.join(old)
        new_text = '\n'.join(new) + end
        changes = difference(old_text, new_text)
        assert apply_changes(old_text, changes) == new_text

    def test_one_changed_row_gives_a_change_of_one_row(self):
        newer = POOLS.replace('6,     250', '8,     250')
        (change,) = difference(POOLS, newer)
        assert (change.removed, len(change.added)) == (1, 1)

    def test_same_text_has_no_difference(self):
        assert difference(ROUTES, ROUTES) == ()

    def test_long_texts_without_common_rows_give_one_change(self):
        old = '\n'.join(f'old {number}' for number in range(20_000))
        new = '\n'.join(f'new {number}' for number in range(20_000))
        changes = difference(old, new)
        assert len(changes) == 1
        assert apply_changes(old, changes) == new

    @pytest.mark.parametrize(
        'changes',
        [
            (Change(3, 1),),
            (Change(0, 9),),
            (Change(2, 1), Change(0, 1)),
            (Change(0, 2), Change(1, 1)),
        ],
    )
    def test_changes_that_do_not_fit_are_rejected(self, changes):
        with pytest.raises(ValueError, match='does not fit'):
            apply_changes('a\nb\nc', changes)
