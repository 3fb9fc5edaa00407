"""Sizes of runs: those of published figures, or small ones with ``--quick``.

A quick run only shows that a script still runs; its figures mean nothing.
"""

import sys
from typing import TypeVar

Size = TypeVar('Size')
IS_QUICK = '--quick' in sys.argv


def pick(published: Size, quick: Size) -> Size:
    """Return the size for this run."""
    return quick if IS_QUICK else published
