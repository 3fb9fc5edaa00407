"""What a command of ``figdoor-ctl`` consists of."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TextIO

from figdoor_ctl.exits import Exit


@dataclass(frozen=True, slots=True)
class Command:
    """One command: how it is written, what it does, and its function.

    ``run`` gets the arguments after the command's name.
    """

    name: str
    arguments: str
    summary: str
    description: str
    run: Callable[[Sequence[str], TextIO], Exit]

    @property
    def usage(self) -> str:
        """The line that shows how the command is written."""
        return f'usage: figdoor-ctl {self.name} {self.arguments}'

    @property
    def help_text(self) -> str:
        """The text of ``--help``."""
        return f'{self.usage}\n\n{self.description}'


def wrong_usage(usage: str, out: TextIO) -> Exit:
    """Print how a command is written; return the exit code for it."""
    out.write(f'{usage}\n')
    return Exit.USAGE
