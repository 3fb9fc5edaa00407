"""The status of this node: its state and readiness, tables and upstreams."""

from datetime import UTC, datetime
from typing import Any

from figdoor_gateway.operator import _rows
from figdoor_kernel import (
    Extension,
    Node,
    NodeStateChanged,
    Revision,
    TablesAccepted,
    TablesRefused,
    UpstreamId,
    UpstreamState,
    UpstreamStateChanged,
)


class NodeStatus:
    """Records when states and tables changed; describes them on demand.

    Times are wall-clock times for people; no decision depends on them.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to changes of tables and states."""
        self._node = node
        self._started_at = _wall_clock()
        self._state_since = self._started_at
        self._accepted_at = ''
        self._accepted_revision = Revision(0)
        self._refused_at = ''
        self._states: dict[UpstreamId, UpstreamState] = {}
        node.events.subscribe(NodeStateChanged, self._on_state)
        node.events.subscribe(TablesAccepted, self._on_accepted)
        node.events.subscribe(TablesRefused, self._on_refused)
        node.events.subscribe(UpstreamStateChanged, self._on_upstream)

    def describe(self) -> dict[str, Any]:
        """Return the status as JSON values, as served at ``/in-force``."""
        node = self._node
        readiness = node.part(Extension.SERVICE, 'readiness')
        acceptance = node.part(Extension.SERVICE, 'acceptance')
        return {
            'node': node.node_id,
            'availability_zone': node.availability_zone,
            'started_at': self._started_at,
            'state': readiness.state.value,
            'state_since': self._state_since,
            'not_ready_because': list(
                readiness.reasons(node.clock.now_ms()),
            ),
            'revision': acceptance.revision,
            'evacuated': sorted(node.tables.evacuated) if node.tables else [],
            'accepted_at': self._accepted_at,
            **self._refusal(acceptance),
            'nodes': len(node.fleet.nodes()),
            'availability_zones': _rows.availability_zones(node),
            'routes': _rows.routes(node),
            'pools': _rows.pools(node),
            'tenants': _rows.tenants(node),
            'upstreams': _rows.upstreams(node, self._states),
        }

    def _refusal(self, acceptance: Any) -> dict[str, Any]:
        """Return the last refused revision unless a newer one is in force."""
        if acceptance.refused_revision > acceptance.revision:
            findings = [str(finding) for finding in acceptance.findings]
            return {
                'refused_revision': acceptance.refused_revision,
                'refused_at': self._refused_at,
                'findings': findings,
            }
        return {'refused_revision': 0, 'refused_at': '', 'findings': []}

    def _on_state(self, event: NodeStateChanged) -> None:
        self._state_since = _wall_clock()

    def _on_accepted(self, event: TablesAccepted) -> None:
        # Tables come again with the same revision when a zone is evacuated.
        if event.tables.revision != self._accepted_revision:
            self._accepted_revision = event.tables.revision
            self._accepted_at = _wall_clock()

    def _on_refused(self, event: TablesRefused) -> None:
        self._refused_at = _wall_clock()

    def _on_upstream(self, event: UpstreamStateChanged) -> None:
        if event.state is UpstreamState.GONE:
            self._states.pop(event.upstream, None)
        else:
            self._states[event.upstream] = event.state


def _wall_clock() -> str:
    return datetime.now(UTC).isoformat(timespec='seconds')
