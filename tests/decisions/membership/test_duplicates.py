"""Detection of duplicate updates."""

from hypothesis import given
from hypothesis import strategies as st

from figdoor_decisions.membership._duplicates import (
    MAX_STREAMS,
    WINDOW,
    Duplicates,
    make_sequence,
)


class TestDuplicates:
    """Guards against updates that are delivered twice or not at all."""

    @given(st.lists(st.integers(1, WINDOW), max_size=80))
    def test_each_counter_within_the_window_is_new_once(self, counters):
        duplicates = Duplicates()
        seen = set()
        for counter in counters:
            is_new = duplicates.is_new('n1', make_sequence(1, counter))
            assert is_new == (counter not in seen)
            seen.add(counter)

    def test_lower_counter_of_restarted_origin_is_new(self):
        duplicates = Duplicates()
        assert duplicates.is_new('n1', make_sequence(9, 500))
        assert duplicates.is_new('n1', make_sequence(3, 1))

    def test_counter_behind_the_window_is_a_duplicate(self):
        duplicates = Duplicates()
        duplicates.is_new('n1', make_sequence(1, WINDOW + 1))
        assert not duplicates.is_new('n1', make_sequence(1, 1))

    def test_number_of_streams_is_bounded(self):
        duplicates = Duplicates()
        for incarnation in range(MAX_STREAMS + 10):
            duplicates.is_new('n1', make_sequence(incarnation, 1))
        assert len(duplicates._streams) == MAX_STREAMS
