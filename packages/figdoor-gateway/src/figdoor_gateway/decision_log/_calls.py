"""Records of open calls, from which their log lines are written."""

import math
from dataclasses import dataclass, field
from typing import Any

from figdoor_kernel import (
    AttemptEnded,
    AttemptSent,
    AttemptStarted,
    CallClosed,
    CallHeld,
    CallUnplaced,
    Node,
    RoutedCall,
    UpstreamId,
)


@dataclass(slots=True)
class _CallRecord:
    """The attempts of one call and its searches that found no upstream.

    Records are keyed by ``id(routed)``. Holding ``routed`` ensures that no
    other call gets the same id. ``unplaced`` describes what the last of these
    ``searches`` saw, ``held`` the last state of its wait.
    """

    routed: RoutedCall
    attempts: dict[int, dict[str, Any]] = field(default_factory=dict)
    unplaced: dict[str, Any] = field(default_factory=dict)
    searches: int = 0
    held: dict[str, Any] = field(default_factory=dict)

    def fields(self) -> dict[str, Any]:
        """Return the log fields that this record adds."""
        fields: dict[str, Any] = {}
        if self.attempts:
            fields['attempts'] = list(self.attempts.values())
        if self.searches > 1:
            fields['unplaced'] = {'searches': self.searches, **self.unplaced}
        if self.held:
            fields['held'] = self.held
        return fields


class CallRecords:
    """Collects the attempts of calls with the load reports at that time."""

    def __init__(self, node: Node) -> None:
        """Subscribe to the events of calls; load reports are in the fleet."""
        self._node = node
        self._records: dict[int, _CallRecord] = {}
        node.events.subscribe(CallUnplaced, self._on_unplaced)
        node.events.subscribe(CallHeld, self._on_held)
        node.events.subscribe(AttemptStarted, self._on_started)
        node.events.subscribe(AttemptSent, self._on_sent)
        node.events.subscribe(AttemptEnded, self._on_ended)

    def describe(self, event: CallClosed) -> dict[str, Any]:
        """Return the log fields of a closed call and drop its record."""
        fields: dict[str, Any] = {
            'request': event.request_id,
            'outcome': event.outcome.value,
            'latency_ms': round(event.latency_ms, 1),
            'revision': self._node.revision,
        }
        if event.refusal is not None:
            fields['refusal'] = event.refusal.value
        routed = event.routed
        if routed is not None:
            fields['route'] = routed.route.name
            fields['pool'] = routed.pool.name
            fields['time_given_ms'] = round(
                routed.deadline_ms - routed.opened_ms,
            )
            if routed.tenant_record is not None:
                fields['tenant'] = routed.tenant
            record = self._records.pop(id(routed), None)
            if record is not None:
                fields.update(record.fields())
        return fields

    def _on_unplaced(self, event: CallUnplaced) -> None:
        record = self._record(event.routed)
        record.searches += 1
        record.unplaced = {'seen': {}}
        if math.isfinite(event.margin):
            record.unplaced['margin'] = round(event.margin, 2)
        for upstream_id in event.seen:
            load = self._load_fields(upstream_id, event.now_ms).get('load')
            record.unplaced['seen'][upstream_id] = load

    def _on_held(self, event: CallHeld) -> None:
        self._record(event.routed).held = {
            'position': event.position,
            'waiting': event.length,
            'priority': event.routed.priority,
            'outlook': event.outlook.value,
            'slack_ms': round(event.slack_ms),
            'work_ms': round(event.work_ms),
            'work_samples': event.work_samples,
            'after_ms': round(event.now_ms - event.routed.opened_ms, 1),
        }

    def _on_started(self, event: AttemptStarted) -> None:
        record = self._record(event.routed)
        after_ms = event.now_ms - event.routed.opened_ms
        record.attempts[event.attempt_id] = {
            'upstream': event.upstream,
            **self._load_fields(event.upstream, event.now_ms),
            'after_ms': round(after_ms, 1),
        }

    def _record(self, routed: RoutedCall) -> _CallRecord:
        return self._records.setdefault(id(routed), _CallRecord(routed))

    def _load_fields(
        self,
        upstream_id: UpstreamId,
        now_ms: float,
    ) -> dict[str, Any]:
        """Return the last load report of an upstream and its age."""
        upstream = self._node.fleet.find(upstream_id)
        if upstream is None or upstream.report is None:
            return {}
        report = upstream.report
        return {
            'load': (
                f'{report.running}+{report.waiting}/{report.slots}'
                f' x{report.slowness:g}'
            ),
            'load_age_ms': round(now_ms - upstream.report_at_ms, 1),
        }

    def _on_sent(self, event: AttemptSent) -> None:
        record = self._records.get(id(event.routed))
        if record is not None and event.attempt_id in record.attempts:
            record.attempts[event.attempt_id]['sent'] = True

    def _on_ended(self, event: AttemptEnded) -> None:
        record = self._records.get(id(event.routed))
        if record is None or event.attempt_id not in record.attempts:
            return
        attempt = record.attempts[event.attempt_id]
        attempt['state'] = event.state.value
        attempt['took_ms'] = round(event.latency_ms, 1)
        if event.failed:
            attempt['failed'] = True
        if event.connection_died:
            attempt['connection_died'] = True
