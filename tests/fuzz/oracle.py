"""The promises that must always hold, as checks of the recorded actions."""

from records import COLD_LIMIT
from simulation import PROBES_PER_S

from figdoor_kernel import Outcome

# A change must take effect at all nodes within this time.
SPREAD_MS = 3000
WINDOW_MS = 1000


def probes_stay_within_budget(simulation):
    """P1: all nodes together probe each upstream no faster than allowed."""
    for name in simulation.workers:
        times_ms = [
            at_ms for probed, at_ms in simulation.probes if probed == name
        ]
        for start_ms in times_ms:
            in_window = [
                at_ms
                for at_ms in times_ms
                if start_ms <= at_ms < start_ms + WINDOW_MS
            ]
            assert len(in_window) <= PROBES_PER_S * WINDOW_MS / 1000 + 1, name


def cold_upstreams_stay_within_capacity(simulation):
    """P2: a worker that starts cold gets no more than it can handle."""
    for request in simulation.sent_requests:
        if (
            request.capacity == COLD_LIMIT
            and request.silently_cold_since_ms is None
        ):
            assert request.running <= request.capacity, request


def silently_cold_upstreams_stay_within_capacity(simulation):
    """P2: the same for a worker that turned cold without a restart.

    The limit applies from the first failure that shows the turn: to the node
    that saw the failure, and to all nodes together if no link was disturbed.
    """
    for request in simulation.sent_requests:
        if (
            request.capacity == COLD_LIMIT
            and request.silently_cold_since_ms is not None
        ):
            assert request.sent_since_detected_by_node <= request.capacity, (
                request
            )
            if not simulation.had_disturbed_links:
                assert request.sent_since_detected <= request.capacity, request


def zones_out_of_service_get_no_new_work(simulation):
    """P3: nothing is sent to a zone taken out of service over 3 s ago.

    The time counts from the publication of the change. If only some nodes
    could read the change, it counts from when a node first put it in force.
    """
    changes = simulation.zone_changes
    if simulation.had_partial_reach:
        changes = _zones_in_force(simulation)
    for request in simulation.sent_requests:
        past = [change for change in changes if change[0] <= request.now_ms]
        since_ms, zones, _ = past[-1]
        if request.zone not in zones:
            assert request.now_ms - since_ms <= SPREAD_MS, request


def _zones_in_force(simulation):
    """Return the changes as of when a node first put each of them in force."""
    zones_of = {
        revision: zones for _, zones, revision in simulation.zone_changes
    }
    changes = []
    for at_ms, _, revision in simulation.accepted:
        if not changes or revision > changes[-1][2]:
            changes.append((at_ms, zones_of[revision], revision))
    return changes


def callers_get_one_outcome(simulation):
    """P4: each caller gets one outcome, ``answered`` only if the call ran."""
    for simulated in simulation.simulated_calls:
        name = simulated.node.node_id
        was_replaced = simulation.network.nodes.get(name) is not simulated.node
        routed = simulated.exchange.routed
        if was_replaced or routed is None or name in simulation.network.paused:
            continue
        if simulation.clock.now_ms() > routed.deadline_ms + WINDOW_MS:
            assert simulated.record.outcomes, simulated.record
    for call in simulation.call_records:
        assert len(call.outcomes) <= 1, call
        if call.outcomes == [Outcome.ANSWERED]:
            assert call.executions >= 1, call


def not_run_means_not_run(simulation):
    """P5: no worker has run a request whose outcome is ``not-run``."""
    for call in simulation.call_records:
        if call.outcomes == [Outcome.NOT_RUN]:
            assert call.executions == 0, call


def non_idempotent_runs_at_most_once(simulation):
    """P6: no worker runs a write a second time."""
    for call in simulation.call_records:
        if call.operation == 'POST':
            assert call.executions <= 1, call


def leaving_upstreams_get_no_new_work(simulation):
    """P7: nothing is sent to a worker that began to drain over 3 s ago."""
    for request in simulation.sent_requests:
        since_ms = request.draining_since_ms
        if since_ms is not None:
            assert request.now_ms - since_ms <= SPREAD_MS, request


def planned_stops_abort_nothing(simulation):
    """P8: no request was in progress when a stopping node exited."""
    assert not simulation.aborted_calls, simulation.aborted_calls


def configuration_spreads_and_never_reverts(simulation):
    """P9: nothing is sent under tables that were replaced over 3 s ago.

    The time counts from when the first node put newer tables in force. Each
    revision that a node accepts is newer than the one before.
    """
    for request in simulation.sent_requests:
        expected = [
            revision
            for at_ms, _, revision in simulation.accepted
            if at_ms <= request.now_ms - SPREAD_MS
        ]
        assert request.revision >= max(expected, default=0), request
    newest = {}
    for _, node, revision in simulation.accepted:
        assert revision > newest.get(node, 0), (node, revision)
        newest[node] = revision


PROMISES = (
    probes_stay_within_budget,
    cold_upstreams_stay_within_capacity,
    silently_cold_upstreams_stay_within_capacity,
    zones_out_of_service_get_no_new_work,
    callers_get_one_outcome,
    not_run_means_not_run,
    non_idempotent_runs_at_most_once,
    leaving_upstreams_get_no_new_work,
    planned_stops_abort_nothing,
    configuration_spreads_and_never_reverts,
)
