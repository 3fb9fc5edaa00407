"""Worth of the standard days on the users' platform, from the journal.

Prints a row for each score that the journal holds: the snapshot, the site,
and the worth of each day. Days on which a rule was broken are marked.
"""

import json
import sys
from pathlib import Path

JOURNAL = Path(__file__).parents[1] / 'journal'
# A run of one site gives this many days; others were ended early.
FEWEST_DAYS = 6
QUICK_ROWS = 1


def scores():
    """Yield the entries of complete scores, oldest first."""
    for path in sorted(JOURNAL.glob('*.json')):
        entry = json.loads(path.read_text(encoding='utf-8'))
        days = entry.get('days') or ()
        if entry.get('cmd') == 'score' and len(days) >= FEWEST_DAYS:
            yield entry


def render(entry):
    """Return one row."""
    days = [
        f'{day["name"]} {day["G"]:.3f}{"!" if day["rules"] else ""}'
        for day in entry['days']
    ]
    return f'{entry["id"]} {entry["site"]}: {", ".join(days)}'


def main(arguments):
    """Print all rows, or one of them with ``--quick``."""
    rows = [render(entry) for entry in scores()]
    for row in rows[:QUICK_ROWS] if '--quick' in arguments else rows:
        sys.stdout.write(f'{row}\n')


if __name__ == '__main__':
    main(sys.argv[1:])
