"""The description of a ``figdoor-ctl`` command."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TextIO

from figdoor_ctl.exits import ExitCode


@dataclass(frozen=True, slots=True)
class Command:
    """Help texts of a command and the function that runs it.

    ``arguments`` is the synopsis of the arguments in the usage line; ``run``
    receives the arguments after the name of the command.
    """

    name: str
    arguments: str
    summary: str
    description: str
    run: Callable[[Sequence[str], TextIO], ExitCode]

    @property
    def usage(self) -> str:
        """The usage line."""
        return f'usage: figdoor-ctl {self.name} {self.arguments}'

    @property
    def help_text(self) -> str:
        """The output of ``--help``."""
        return f'{self.usage}\n\n{self.description}'


def print_usage(usage: str, out: TextIO) -> ExitCode:
    """Print the usage line; return the exit code for wrong usage."""
    out.write(f'{usage}\n')
    return ExitCode.USAGE
