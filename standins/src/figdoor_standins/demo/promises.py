"""Compares the outcomes that callers were given with what upstreams ran."""

from collections import Counter

EVACUATION_LIMIT_MS = 3000
MAX_LISTED = 5


def broken_promises(run):
    """Return one line for each promise that the run broke."""
    checks = (
        _check_coverage,
        _check_non_idempotent_runs,
        _check_not_run,
        _check_answered,
        _check_own_responses,
        _check_evacuated_zone,
        _check_probe_budget,
        _check_exit_codes,
    )
    return [line for check in checks for line in check(run)]


def last_start_after_out_s(run):
    """Return seconds from removal of the zone to its last started request."""
    starts = [start.at_ms for start in _starts_while_out(run)]
    return (max(starts) - run.zone_out_ms) / 1000 if starts else 0


def probe_budget(run, upstream):
    """Return how many probes an upstream may have received in the run.

    Each node's token bucket starts with one token.
    """
    return run.gateways + run.probes_per_s * run.listed_s[upstream]


def _attempts(run):
    for record in run.records:
        if not record['direct']:
            for attempt in record['tries']:
                yield record, attempt


def _executions(run):
    return Counter(start.request_id for start in run.runs)


def _describe(ids, what):
    if ids:
        examples = ', '.join(sorted(ids)[:MAX_LISTED])
        yield f'{len(ids)} {what}: {examples}'


def _check_coverage(run):
    if run.load_exit_code:
        yield f'the callers ended with exit code {run.load_exit_code}'
    answered = [
        record for record in run.records if record['told'] == 'answered'
    ]
    for direct, name in ((False, 'through figdoor'), (True, 'direct')):
        if not any(record['direct'] == direct for record in answered):
            yield f'nothing was answered {name}, so the run proves nothing'
    if not run.resets:
        yield 'no order was reset after it ran, so the run proves nothing of orders'


def _check_non_idempotent_runs(run):
    executions = _executions(run)
    ids = {
        record['tries'][0]['id']
        for record in run.records
        if not record['idempotent']
        and sum(executions[attempt['id']] for attempt in record['tries']) > 1
    }
    yield from _describe(ids, 'non-idempotent requests ran twice')


def _check_not_run(run):
    executions = _executions(run)
    ids = {
        attempt['id']
        for _, attempt in _attempts(run)
        if attempt['told'] == 'not-run' and executions[attempt['id']]
    }
    yield from _describe(ids, "requests reported as 'not-run' ran")


def _check_answered(run):
    executions = _executions(run)
    ids = {
        attempt['id']
        for _, attempt in _attempts(run)
        if attempt['told'] == 'answered' and not executions[attempt['id']]
    }
    yield from _describe(ids, "requests reported as 'answered' did not run")


def _check_own_responses(run):
    ids = {
        attempt['id']
        for _, attempt in _attempts(run)
        if not attempt['own_answer']
    }
    yield from _describe(ids, "responses were not to the caller's own request")


def _starts_while_out(run):
    return [
        start
        for start in run.runs
        if start.zone == run.zone_out
        and run.zone_out_ms < start.at_ms < run.zone_back_ms
    ]


def _check_evacuated_zone(run):
    limit_ms = run.zone_out_ms + EVACUATION_LIMIT_MS
    ids = {
        start.request_id
        for start in _starts_while_out(run)
        if start.at_ms > limit_ms
    }
    yield from _describe(ids, f'requests started in {run.zone_out} after 3 s')


def _check_probe_budget(run):
    counts = Counter(probe.upstream for probe in run.probes)
    for upstream, count in counts.items():
        budget = probe_budget(run, upstream)
        if count > budget:
            yield f'{upstream} got {count} probes, budget {budget:.0f}'


def _check_exit_codes(run):
    if any(run.exit_codes):
        yield f'gateways stopped with exit codes {run.exit_codes}'
