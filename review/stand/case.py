"""What the scripts share: the record, the exit status, the clean end."""

import asyncio
import os
import signal
import sys
import time
import traceback
from pathlib import Path

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get('TROUBLE', '1') != '0'


class Record:
    """Writes ``record.txt`` beside the script, with times from its start."""

    def __init__(self, script):
        self._path = Path(script).resolve().parent / 'record.txt'
        self._lines = []
        self._begin_s = time.monotonic()

    def since(self, at_s):
        """Return a time as seconds from the start."""
        return f'{at_s - self._begin_s:8.3f}'

    def write(self, text, at_s=None):
        """Add a line."""
        at_s = time.monotonic() if at_s is None else at_s
        self._lines.append((at_s, f'{self.since(at_s)} {text}'))

    def save(self, verdict):
        """Write all lines in the order of their times, and the verdict."""
        lines = [
            line for _, line in sorted(self._lines, key=lambda row: row[0])
        ]
        self._path.write_text('\n'.join([*lines, verdict, '']))
        print(verdict)


def run(script, play, limit_s=115):
    """Play a case and exit with its status; ``play`` gets the record.

    ``play`` returns whether the rule held and the verdict, and gets a list to
    which it adds the nodes that it started.
    """
    # Without this, a run that is ended from outside would leave its nodes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    record = Record(script)
    nodes = []
    status = COULD_NOT_RUN
    verdict = 'could not run'
    try:
        has_held, verdict = asyncio.run(
            asyncio.wait_for(play(record, nodes), limit_s)
        )
        status = HELD if has_held else BROKEN
    except Exception:
        verdict = f'could not run: {traceback.format_exc()}'
    finally:
        for node in nodes:
            node.kill()
    record.save(verdict)
    sys.exit(status)
