"""Exit codes of the commands."""

from enum import IntEnum, unique


@unique
class Exit(IntEnum):
    """What an exit code tells a script."""

    FINE = 0
    FINDINGS = 1
    USAGE = 2
