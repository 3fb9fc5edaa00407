"""The commands of ``figdoor-ctl``, each a plain function."""

from figdoor_ctl.commands._check import check

COMMANDS = {
    'check': check,
}

__all__ = ('COMMANDS', 'check')
