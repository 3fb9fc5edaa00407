"""What is remembered of each call until its line is written."""

from dataclasses import dataclass, field
from typing import Any

from figdoor_kernel import (
    AttemptEnded,
    AttemptSent,
    AttemptStarted,
    CallClosed,
    Node,
    RoutedCall,
)


@dataclass(slots=True)
class _Record:
    """The attempts of one call; the reference keeps its id in use."""

    routed: RoutedCall
    attempts: dict[int, dict[str, Any]] = field(default_factory=dict)


class CallRecords:
    """Collects attempts with the reports that decided where they went."""

    def __init__(self, node: Node) -> None:
        """Follow attempts; the fleet keeps the reports."""
        self._node = node
        self._records: dict[int, _Record] = {}
        node.events.subscribe(AttemptStarted, self._on_started)
        node.events.subscribe(AttemptSent, self._on_sent)
        node.events.subscribe(AttemptEnded, self._on_ended)

    def describe(self, event: CallClosed) -> dict[str, Any]:
        """Return the fields of the line of a closed call."""
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
            record = self._records.pop(id(routed), None)
            if record is not None:
                fields['attempts'] = list(record.attempts.values())
        return fields

    def _on_started(self, event: AttemptStarted) -> None:
        routed = event.routed
        record = self._records.setdefault(id(routed), _Record(routed))
        attempt: dict[str, Any] = {'upstream': event.upstream}
        upstream = self._node.fleet.find(event.upstream)
        if upstream is not None and upstream.report is not None:
            report = upstream.report
            age_ms = event.now_ms - upstream.report_at_ms
            attempt['load'] = (
                f'{report.running}+{report.waiting}/{report.slots}'
                f' x{report.slowness:g}'
            )
            attempt['load_age_ms'] = round(age_ms, 1)
        attempt['after_ms'] = round(event.now_ms - routed.opened_ms, 1)
        record.attempts[event.attempt_id] = attempt

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
