"""Changes of the list of upstreams."""

from collections.abc import Iterator
from typing import Any

from figdoor_kernel import InstanceId, Node, UpstreamId


class UpstreamChanges:
    """Compares the list of upstreams with that of the last ``collect``."""

    def __init__(self, node: Node) -> None:
        """Start with an empty list."""
        self._fleet = node.fleet
        self._previous: dict[UpstreamId, tuple[str, InstanceId]] = {}

    def collect(self) -> Iterator[dict[str, Any]]:
        """Yield the log fields of each upstream that changed."""
        current = {
            upstream.upstream_id: (upstream.vm_state.value, upstream.instance)
            for upstream in self._fleet.upstreams()
        }
        for upstream_id, (state, instance) in current.items():
            if self._previous.get(upstream_id) != (state, instance):
                yield {
                    'upstream': upstream_id,
                    'state': state,
                    'instance': instance,
                }
        for removed_id in self._previous.keys() - current.keys():
            yield {'upstream': removed_id, 'state': 'gone'}
        self._previous = current
