"""The command ``figdoor-ctl``: picks a command and calls it."""

import sys
from typing import TextIO

from figdoor_ctl.commands import COMMANDS
from figdoor_ctl.exits import Exit

_HELP = frozenset(('--help', '-h'))
_USAGE = 'usage: figdoor-ctl COMMAND ...'


def run() -> None:
    """Run one command; the entry point."""
    sys.exit(main(sys.argv[1:], sys.stdout))


def main(arguments: list[str], out: TextIO) -> int:
    """Return the exit code of the command that the arguments name."""
    if arguments and arguments[0] in _HELP:
        out.write(describe_commands())
        return Exit.FINE
    if not arguments or arguments[0] not in COMMANDS:
        out.write(describe_commands())
        return Exit.USAGE
    command = COMMANDS[arguments[0]]
    if _HELP & set(arguments[1:]):
        out.write(f'{command.help_text}\n')
        return Exit.FINE
    return command.run(arguments[1:], out)


def describe_commands() -> str:
    """Return the text of ``figdoor-ctl --help``."""
    lines = [_USAGE, '', 'Commands:']
    lines.extend(
        f'  {command.name:8} {command.summary}' for command in COMMANDS.values()
    )
    lines.append('')
    lines.append('figdoor-ctl COMMAND --help explains one of them.')
    lines.append('')
    return '\n'.join(lines)
