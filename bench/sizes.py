"""The size of a run: the published one, or with ``--quick`` a small one.

The figures of a quick run mean nothing; it shows that a script still runs.
"""

import sys
from typing import TypeVar

Size = TypeVar('Size')
IS_QUICK = '--quick' in sys.argv


def pick(published: Size, quick: Size) -> Size:
    """Return the size for this run."""
    return quick if IS_QUICK else published
