"""The command ``figdoor-ctl``: picks a command and calls it."""

import sys

from figdoor_ctl.commands import COMMANDS
from figdoor_ctl.exits import Exit


def run() -> None:
    """Run one command; the entry point."""
    sys.exit(main(sys.argv[1:]))


def main(arguments: list[str]) -> int:
    """Return the exit code of the command that the arguments name."""
    if not arguments or arguments[0] not in COMMANDS:
        names = ', '.join(COMMANDS)
        sys.stderr.write(f'usage: figdoor-ctl COMMAND ...; one of: {names}\n')
        return Exit.USAGE
    return COMMANDS[arguments[0]](arguments[1:], sys.stdout)
