"""Settings of the garbage collector for a process that must not pause."""

import gc


def settle_heap() -> None:
    """Keep what exists now out of all later collections.

    A full collection over everything that was imported takes about 40 ms,
    while requests leave nothing to collect. The thresholds stay as they are:
    with larger ones the rarer collections of the young objects took longer.
    """
    gc.collect()
    gc.freeze()
