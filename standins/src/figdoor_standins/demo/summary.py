"""Renders the figures of a run as text."""

from collections import Counter, defaultdict

from figdoor_standins.demo.promises import (
    last_start_after_out_s,
    probe_budget,
)

OUTCOMES = ('answered', 'not-run', 'unknown')


def percentile(sorted_numbers, percent):
    """Return the nearest-rank percentile; 0 for an empty list."""
    if not sorted_numbers:
        return 0
    rank = -(-len(sorted_numbers) * percent // 100)
    return sorted_numbers[max(0, int(rank) - 1)]


def render_summary(run):
    """Return the summary of the run."""
    return '\n'.join(
        (
            *_outcomes(run),
            '',
            *_latencies(run),
            '',
            *_probes(run),
            f'last request started in {run.zone_out} '
            f'{last_start_after_out_s(run):.2f} s after its removal from the tables',
        ),
    )


def _outcomes(run):
    counts = defaultdict(Counter)
    reasons = Counter()
    for record in run.records:
        if not record['direct']:
            counts[record['route'], record['tenant']][record['told']] += 1
            if record['told'] != 'answered':
                last = record['tries'][-1]
                reasons[record['told'], last['reason'] or last['ending']] += 1
    yield f'{"route":10} {"tenant":14} {"answered":>8} {"not run":>8} unknown'
    for (route, tenant), outcomes in sorted(counts.items()):
        answered, not_run, unknown = (outcomes[name] for name in OUTCOMES)
        yield f'{route:10} {tenant:14} {answered:8} {not_run:8} {unknown:7}'
    retried = sum(len(record['tries']) > 1 for record in run.records)
    yield f'orders that ran and were then reset by their upstreams: {len(run.resets)}'
    yield f'retried by their callers at the other gateway: {retried}'
    for (outcome, reason), count in sorted(reasons.items()):
        yield f'  {outcome} because of {reason}: {count}'


def _latencies(run):
    yield f'{"answered":16} {"count":>6} {"p50 ms":>8} {"p99 ms":>8} p99.9 ms'
    for direct, name in ((False, 'through figdoor'), (True, 'direct')):
        latencies_ms = sorted(
            record['latency_ms']
            for record in run.records
            if record['direct'] == direct
            and record['told'] == 'answered'
            and not _was_slow(run, record['started_ms'])
        )
        cells = [percentile(latencies_ms, share) for share in (50, 99, 99.9)]
        texts = ' '.join(f'{cell:8.2f}' for cell in cells)
        yield f'{name:16} {len(latencies_ms):6} {texts}'
    yield 'without requests that started while a service was slow'


def _was_slow(run, at_ms):
    return any(start <= at_ms <= end for start, end in run.slow_intervals_ms)


def _probes(run):
    counts = Counter(probe.upstream for probe in run.probes)
    budget = sum(probe_budget(run, name) for name in run.listed_s)
    answered = sum(record['told'] == 'answered' for record in run.records)
    yield (
        f'probes counted by the upstreams: {counts.total()} of at most '
        f'{budget:.0f} ({answered} answered requests)'
    )
