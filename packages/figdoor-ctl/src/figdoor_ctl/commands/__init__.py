"""The commands of ``figdoor-ctl``, in the order of the help text."""

from figdoor_ctl.commands._check import CHECK
from figdoor_ctl.commands._digest import DIGEST
from figdoor_ctl.commands._explain import EXPLAIN
from figdoor_ctl.commands._replay import REPLAY
from figdoor_ctl.commands._status import STATUS

COMMANDS = {
    command.name: command
    for command in (CHECK, STATUS, REPLAY, EXPLAIN, DIGEST)
}

__all__ = ('COMMANDS',)
