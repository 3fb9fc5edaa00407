"""Scores of the standard days on the users' platform, from the journal.

Prints a row for each complete score in the journal: the snapshot, the site,
and the score of each day. A ``!`` marks days on which a rule was broken.
"""

import json
import sys
from pathlib import Path

JOURNAL = Path(__file__).parents[1] / 'journal'
# A complete run of one site has this many days; others were ended early.
MIN_DAYS = 6
QUICK_ROWS = 1


def scores():
    """Yield the entries of complete scores, oldest first."""
    for path in sorted(JOURNAL.glob('*.json')):
        entry = json.loads(path.read_text(encoding='utf-8'))
        days = entry.get('days') or ()
        if entry.get('cmd') == 'score' and len(days) >= MIN_DAYS:
            yield entry


def render(entry):
    """Return one row."""
    days = [
        f'{day["name"]} {day["G"]:.3f}{"!" if day["rules"] else ""}'
        for day in entry['days']
    ]
    return f'{entry["id"]} {entry["site"]}: {", ".join(days)}'


def main(arguments):
    """Print all rows; with ``--quick``, only the first."""
    rows = [render(entry) for entry in scores()]
    for row in rows[:QUICK_ROWS] if '--quick' in arguments else rows:
        sys.stdout.write(f'{row}\n')


if __name__ == '__main__':
    main(sys.argv[1:])
