"""The VM list from published upstreams and known nodes."""

from figdoor_kernel import (
    Node,
    Service,
    UpstreamsRead,
    VmList,
    VmListChanged,
)


class ListedVms(Service):
    """Publishes one list whenever upstreams or nodes change."""

    def __init__(self, node: Node) -> None:
        """Follow upstreams."""
        self._node = node
        node.events.subscribe(UpstreamsRead, self._on_upstreams)

    def _on_upstreams(self, event: UpstreamsRead) -> None:
        vm_list = VmList(event.vms)
        self._node.events.publish(VmListChanged(vm_list, event.now_ms))
