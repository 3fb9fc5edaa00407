"""Compares what callers were told with what upstreams ran."""

from collections import Counter

OUT_LIMIT_MS = 3000
MAX_LISTED = 5


def broken_promises(run):
    """Return one line for each promise that the run broke."""
    checks = (
        _nothing_shown,
        _ran_twice,
        _ran_but_told_not_run,
        _told_answered_but_not_run,
        _not_the_callers_own,
        _started_in_the_out_zone,
        _probed_over_budget,
        _cut_at_stop,
    )
    return [line for check in checks for line in check(run)]


def last_start_after_out_s(run):
    """Return seconds from publication to the last start in the out zone."""
    starts = [start.at_ms for start in _starts_while_out(run)]
    return (max(starts) - run.zone_out_ms) / 1000 if starts else 0


def probe_budget(run, upstream):
    """Return how many probes an upstream may have got in the run.

    Each node's bucket starts with one token.
    """
    return run.gateways + run.probes_per_s * run.listed_s[upstream]


def _tries(run):
    for record in run.records:
        if not record['direct']:
            for one in record['tries']:
                yield record, one


def _executions(run):
    return Counter(start.request_id for start in run.runs)


def _list(ids, what):
    if ids:
        some = ', '.join(sorted(ids)[:MAX_LISTED])
        yield f'{len(ids)} {what}: {some}'


def _nothing_shown(run):
    if run.load_exit_code:
        yield f'the callers ended with exit code {run.load_exit_code}'
    answered = [one for one in run.records if one['told'] == 'answered']
    for direct, name in ((False, 'through figdoor'), (True, 'direct')):
        if not any(record['direct'] == direct for record in answered):
            yield f'nothing was answered {name}, so nothing was shown'
    if not run.resets:
        yield 'no order was reset after it ran, so nothing was shown of orders'


def _ran_twice(run):
    executions = _executions(run)
    ids = {
        record['tries'][0]['id']
        for record in run.records
        if not record['idempotent']
        and sum(executions[one['id']] for one in record['tries']) > 1
    }
    yield from _list(ids, 'non-idempotent requests ran twice')


def _ran_but_told_not_run(run):
    executions = _executions(run)
    ids = {
        one['id']
        for _, one in _tries(run)
        if one['told'] == 'not-run' and executions[one['id']]
    }
    yield from _list(ids, "requests told 'not-run' ran")


def _told_answered_but_not_run(run):
    executions = _executions(run)
    ids = {
        one['id']
        for _, one in _tries(run)
        if one['told'] == 'answered' and not executions[one['id']]
    }
    yield from _list(ids, "requests told 'answered' did not run")


def _not_the_callers_own(run):
    ids = {one['id'] for _, one in _tries(run) if not one['own_answer']}
    yield from _list(ids, "answers were not the caller's own")


def _starts_while_out(run):
    return [
        start
        for start in run.runs
        if start.zone == run.zone_out
        and run.zone_out_ms < start.at_ms < run.zone_back_ms
    ]


def _started_in_the_out_zone(run):
    limit_ms = run.zone_out_ms + OUT_LIMIT_MS
    ids = {
        start.request_id
        for start in _starts_while_out(run)
        if start.at_ms > limit_ms
    }
    yield from _list(ids, f'requests started in {run.zone_out} after 3 s')


def _probed_over_budget(run):
    counts = Counter(probe.upstream for probe in run.probes)
    for upstream, count in counts.items():
        budget = probe_budget(run, upstream)
        if count > budget:
            yield f'{upstream} got {count} probes, budget {budget:.0f}'


def _cut_at_stop(run):
    if any(run.exit_codes):
        yield f'gateways stopped with exit codes {run.exit_codes}'
