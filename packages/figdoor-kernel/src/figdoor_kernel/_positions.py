"""Positions in the platform's store, which may come back from an older copy.

The store counts revisions with one counter. After it came back from a copy, it
gives out again the revisions that it had lost, and its era is one higher. A
``Position`` is the era in the high bits and the revision in the low ones, as
ZooKeeper's transaction ids are, so positions are ordered like any integers:
any position is after all of an earlier era.
"""

from figdoor_kernel._ids import Era, Position, Revision

# Any revision that the store can write as a number of 64 bits.
_REVISION_BITS = 64
_REVISION_MASK = (1 << _REVISION_BITS) - 1
# The store counts revisions from 1.
NO_POSITION = Position(0)


def position_of(era: Era, revision: Revision) -> Position:
    """Return the position of a revision in an era.

    >>> position_of(Era(1), Revision(1)) > position_of(Era(0), Revision(99))
    True
    """
    return Position((era << _REVISION_BITS) | revision)


def era_of(position: Position) -> Era:
    """Return the era of a position."""
    return Era(position >> _REVISION_BITS)


def revision_of(position: Position) -> Revision:
    """Return the revision that the store gave out in the position's era."""
    return Revision(position & _REVISION_MASK)
