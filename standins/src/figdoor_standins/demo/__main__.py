"""Runs the demo; exits with 1 if a promise was broken."""

import sys
import tempfile
from pathlib import Path

from figdoor_standins.demo.fleet import run_demo
from figdoor_standins.demo.promises import broken_promises
from figdoor_standins.demo.summary import render_summary


def main():
    """Return the exit code."""
    with tempfile.TemporaryDirectory(prefix='figdoor-demo-') as folder:
        run = run_demo(Path(folder))
    sys.stdout.write(f'{render_summary(run)}\n')
    broken = broken_promises(run)
    for line in broken:
        sys.stdout.write(f'BROKEN: {line}\n')
    sys.stdout.write('promises broken\n' if broken else 'all promises kept\n')
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
