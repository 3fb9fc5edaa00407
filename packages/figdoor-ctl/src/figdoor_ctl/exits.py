"""Exit codes of the commands."""

from enum import IntEnum, unique


@unique
class ExitCode(IntEnum):
    """Codes that all commands share."""

    OK = 0
    FINDINGS = 1
    USAGE = 2
