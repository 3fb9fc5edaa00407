"""What changed in the list of upstreams."""

from collections.abc import Iterator
from typing import Any

from figdoor_kernel import InstanceId, Node, UpstreamId


class UpstreamChanges:
    """Compares the fleet with what it was at the last look."""

    def __init__(self, node: Node) -> None:
        """Start with no upstreams."""
        self._fleet = node.fleet
        self._known: dict[UpstreamId, tuple[str, InstanceId]] = {}

    def read(self) -> Iterator[dict[str, Any]]:
        """Yield the fields of a line for each upstream that changed."""
        found = {
            upstream.upstream_id: (upstream.vm_state.value, upstream.instance)
            for upstream in self._fleet.upstreams()
        }
        for upstream_id, (state, instance) in found.items():
            if self._known.get(upstream_id) != (state, instance):
                yield {
                    'upstream': upstream_id,
                    'state': state,
                    'instance': instance,
                }
        for gone in self._known.keys() - found.keys():
            yield {'upstream': gone, 'state': 'gone'}
        self._known = found
