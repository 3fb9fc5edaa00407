"""The VM list, made of published upstreams and members."""

from figdoor_kernel import (
    MembersChanged,
    Node,
    Service,
    UpstreamsRead,
    Vm,
    VmList,
    VmListChanged,
)


class ListedVms(Service):
    """Publishes the whole VM list whenever upstreams or members change."""

    def __init__(self, node: Node) -> None:
        """Subscribe to upstreams and members."""
        self._node = node
        self._upstreams: tuple[Vm, ...] = ()
        self._members: tuple[Vm, ...] = ()
        node.events.subscribe(UpstreamsRead, self._on_upstreams)
        node.events.subscribe(MembersChanged, self._on_members)

    def _on_upstreams(self, event: UpstreamsRead) -> None:
        self._upstreams = event.vms
        self._publish(event.now_ms)

    def _on_members(self, event: MembersChanged) -> None:
        self._members = event.members
        self._publish(event.now_ms)

    def _publish(self, now_ms: float) -> None:
        vm_list = VmList((*self._upstreams, *self._members))
        self._node.events.publish(VmListChanged(vm_list, now_ms))
