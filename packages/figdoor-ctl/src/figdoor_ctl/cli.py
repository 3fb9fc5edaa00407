"""Entry point of ``figdoor-ctl``; dispatches to its commands."""

import sys
from typing import TextIO

from figdoor_ctl.commands import COMMANDS
from figdoor_ctl.exits import ExitCode

_HELP = frozenset(('--help', '-h'))
_USAGE = 'usage: figdoor-ctl COMMAND ...'


def run() -> None:
    """Run a command and exit with its code."""
    sys.exit(main(sys.argv[1:], sys.stdout))


def main(arguments: list[str], out: TextIO) -> int:
    """Run the command named by the arguments; return its exit code."""
    if arguments and arguments[0] in _HELP:
        out.write(describe_commands())
        return ExitCode.OK
    if not arguments or arguments[0] not in COMMANDS:
        out.write(describe_commands())
        return ExitCode.USAGE
    command = COMMANDS[arguments[0]]
    if _HELP & set(arguments[1:]):
        out.write(f'{command.help_text}\n')
        return ExitCode.OK
    return command.run(arguments[1:], out)


def describe_commands() -> str:
    """Return the text of ``figdoor-ctl --help``."""
    lines = [_USAGE, '', 'Commands:']
    lines.extend(
        f'  {command.name:8} {command.summary}' for command in COMMANDS.values()
    )
    lines.append('')
    lines.append('Run figdoor-ctl COMMAND --help for the help of a command.')
    lines.append('')
    return '\n'.join(lines)
