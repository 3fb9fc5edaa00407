"""``digest``: prints the digests of keys for the tenants table."""

import sys
from collections.abc import Sequence
from typing import TextIO

from figdoor_ctl.command import Command, print_usage
from figdoor_ctl.exits import ExitCode
from figdoor_kernel import digest_of_key

_DESCRIPTION = """\
Reads keys from standard input, one on a line, and prints the digest of each,
for the column keys of the tenants table. Keys are not taken as arguments, since
other users of the machine can see those.

Exit codes: 0 printed, 2 wrong usage."""


def digest(arguments: Sequence[str], out: TextIO) -> ExitCode:
    """Print the digest of each key on standard input."""
    if arguments:
        return print_usage(DIGEST.usage, out)
    for line in sys.stdin:
        key = line.strip()
        if key:
            out.write(f'{digest_of_key(key.encode()).hex()}\n')
    return ExitCode.OK


DIGEST = Command(
    'digest',
    '< KEYS',
    'print digests of keys for the tenants table',
    _DESCRIPTION,
    digest,
)
