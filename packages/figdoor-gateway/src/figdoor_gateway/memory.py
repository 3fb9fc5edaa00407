"""Garbage collector settings that avoid long pauses."""

import gc


def pause_collections() -> None:
    """Turn collections off until ``freeze_heap``.

    A start imports 700 modules. Collections during the imports, the last of
    them a full one, would take a tenth of the processor time of a start.
    """
    gc.disable()


def freeze_heap() -> None:
    """Turn collections on, excluding all objects that exist by now.

    A full collection over everything that was imported takes about 40 ms,
    while requests leave nothing to collect. The thresholds keep their
    defaults, since larger ones make each collection of young objects longer.
    Garbage left by the start is kept: collecting it here would delay the
    first answers after a power failure.
    """
    gc.freeze()
    gc.enable()
