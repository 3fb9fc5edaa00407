"""Generates docs/reference.md from the code; ``--check`` only compares.

Names, defaults, bounds, statuses and labels come from the code. The meanings
of outcomes and refusals are defined here; a missing one raises ``KeyError``.
"""

import random
import sys
from pathlib import Path

from figdoor_gateway.clock import BootClock
from figdoor_gateway.frontend._responses import (
    render_error,
    render_local_response,
)
from figdoor_gateway.headers import FigdoorDialect
from figdoor_gateway.metrics import Metrics
from figdoor_gateway.peers._counters import PeerCounters
from figdoor_gateway.settings import OPTIONS
from figdoor_kernel import (
    AvailabilityZoneName,
    Finish,
    Node,
    NodeId,
    Outcome,
    Refusal,
    load_plugins,
)
from figdoor_tables import POOL_COLUMNS, ROUTE_COLUMNS, TENANT_COLUMNS

PATH = Path(__file__).parents[1] / 'docs' / 'reference.md'
# The reason of responses without a refusal.
UPSTREAM_REASON = 'upstream'

OUTCOMES = {
    Outcome.ANSWERED: 'the upstream ran the request; its response is forwarded',
    Outcome.NOT_RUN: 'no upstream ran the request',
    Outcome.UNKNOWN: 'the request may have run, once or not at all '
    '(idempotent ones perhaps more often)',
}
REFUSALS = {
    Refusal.NO_ROUTE: 'no row of the routes table matches',
    Refusal.NO_TABLES: 'the node has no tables yet',
    Refusal.LEASE_EXPIRED: 'the tables were not confirmed within the lease',
    Refusal.NO_UPSTREAM: 'no upstream may receive the request now',
    Refusal.DEADLINE: 'the time left was too short for an attempt',
    Refusal.TENANT_SHARE: 'the tenant uses more than its share of a busy pool',
    Refusal.OVERLOAD: 'no upstream had capacity within the time worth waiting',
    Refusal.CALLER_MEMORY: 'the node holds too much for its callers, and more '
    'for this one than for others',
    Refusal.STOPPING: 'the node is stopping and might abort the request',
    Refusal.UNKNOWN_KEY: 'the request carries no key of a listed tenant',
    Refusal.KEY_MOVED: 'the key went to another tenant during the request',
    Refusal.ALLOWANCE: 'the tenant sends more than its allowance',
    Refusal.QUARANTINED: 'such requests crashed the upstreams that ran them',
}


def render_reference():
    """Return the content of the page."""
    parts = (
        '# Reference',
        'This page is generated from the code by `make reference`.',
        '## Settings of `figdoor`',
        'A flag takes precedence over its environment variable.',
        _table(('flag', 'environment', 'default', 'meaning'), _settings()),
        '## Table `routes`',
        _table(('column', 'accepted', 'meaning'), _columns(ROUTE_COLUMNS)),
        '## Table `pools`',
        _table(('column', 'accepted', 'meaning'), _columns(POOL_COLUMNS)),
        '## Table `tenants`',
        'Optional. Where it is published, a request needs a key.',
        _table(('column', 'accepted', 'meaning'), _columns(TENANT_COLUMNS)),
        '## Metrics',
        'The operator port serves them at `/metrics`.',
        _table(('metric', 'type', 'labels', 'meaning'), _metrics()),
        '## Outcomes',
        'Values of the header `Figdoor-Outcome` of each response.',
        _table(('outcome', 'meaning'), _outcomes()),
        '## Reasons',
        'Values of the header `Figdoor-Reason` of a response whose outcome is not '
        '`answered`.',
        _table(('reason', 'outcome', 'status', 'meaning'), _reasons()),
    )
    return '\n\n'.join(parts) + '\n'


def _table(head, rows):
    lines = [head, ('---',) * len(head), *rows]
    return '\n'.join(f'| {" | ".join(map(str, line))} |' for line in lines)


def _settings():
    for option in OPTIONS:
        default = f'`{option.default}`' if option.default else ''
        yield (
            f'`--{option.name}`',
            f'`{option.environment_name}`',
            default,
            _with_bounds(option.description, option.read),
        )


def _with_bounds(text, read):
    bounds = _bounds(read)
    return f'{text} ({bounds})' if bounds else text


def _bounds(read):
    if hasattr(read, 'lowest'):
        return f'{read.lowest:,} to {read.highest:,}'
    return ', '.join(f'`{choice}`' for choice in getattr(read, 'choices', ()))


def _columns(columns):
    for column in columns:
        accepted = _bounds(column.read)
        if not accepted:
            accepted = _accepted(column.read.__doc__)
        yield f'`{column.name}`', accepted, column.description


def _accepted(doc):
    """Return the object of a doc comment like ``Read a list of operations.``."""
    summary = doc.partition('\n')[0].removeprefix('Read ').rstrip('.')
    return summary.replace('``', '`')


def _metrics():
    node = Node(
        NodeId('n'),
        AvailabilityZoneName('z'),
        BootClock(),
        random.Random(0),
        load_plugins('figdoor_decisions'),
    )
    collectors = Metrics(node).collectors
    PeerCounters(collectors)
    # The public interface of the metrics library has label names only of series
    # that exist; private attributes give them for all metrics.
    for collector in dict.fromkeys(collectors._collector_to_names):
        family = next(iter(collector.describe()))
        suffix = '_total' if family.type == 'counter' else ''
        labels = ', '.join(f'`{name}`' for name in collector._labelnames)
        yield (
            f'`{family.name}{suffix}`',
            family.type,
            labels,
            family.documentation,
        )


def _outcomes():
    for outcome in Outcome:
        yield f'`{outcome.value}`', OUTCOMES[outcome]


def _reasons():
    for refusal in Refusal:
        yield _reason(Outcome.NOT_RUN, refusal, False, REFUSALS[refusal])
    shed = 'every upstream tried shed the request or refused the connection'
    yield _reason(Outcome.NOT_RUN, None, False, shed)
    lost = 'the connection to the upstream was lost during the request'
    yield _reason(Outcome.UNKNOWN, None, False, lost)
    expired = 'the deadline passed after the request was sent to the upstream'
    yield _reason(Outcome.UNKNOWN, None, True, expired)
    lines = render_error(400, b'').decode().splitlines()
    headers = dict(line.split(': ', 1) for line in lines[1:3])
    yield (
        f'`{headers["figdoor-reason"]}`',
        f'`{headers["figdoor-outcome"]}`',
        '4xx, 5xx',
        'the request is malformed or too large; `unknown` if a part of its '
        'body had been sent',
    )


def _reason(outcome, refusal, deadline_passed, meaning):
    response = FigdoorDialect().local_response(
        Finish(outcome, refusal), deadline_passed, ()
    )
    head = render_local_response(response, True).decode()
    status = head.split(' ')[1]
    reason = refusal.value if refusal else UPSTREAM_REASON
    if f'figdoor-reason: {reason}\r\n' not in head:
        raise ValueError(f'{reason} is missing in the response header')
    return f'`{reason}`', f'`{outcome.value}`', status, meaning


def main(arguments):
    """Return the exit code."""
    text = render_reference()
    if arguments == ['--check']:
        is_current = PATH.read_text(encoding='utf-8') == text
        return 0 if is_current else 1
    PATH.write_text(text, encoding='utf-8')
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
