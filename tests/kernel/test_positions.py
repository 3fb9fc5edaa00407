"""Positions in a store that may come back from an older copy."""

import pytest

from figdoor_kernel import era_of, position_of, revision_of


class TestPosition:
    """Guards against a lost change that counts as newer than a later one."""

    @pytest.mark.parametrize('revision', [0, 1, 2**53, 2**64 - 1])
    @pytest.mark.parametrize('era', [0, 1, 2**53])
    def test_era_and_revision_are_found_again(self, era, revision):
        position = position_of(era, revision)
        assert (era_of(position), revision_of(position)) == (era, revision)

    def test_later_era_goes_before_a_higher_revision(self):
        assert position_of(2, 1) > position_of(1, 2**64 - 1)
