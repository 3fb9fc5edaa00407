"""The VM list, made of published upstreams and members."""

from figdoor_decisions.published._restoring import RestoredStore
from figdoor_kernel import (
    Extension,
    MembersChanged,
    Node,
    Service,
    Tick,
    UpstreamsRead,
    Vm,
    VmList,
    VmListChanged,
)


class ListedVms(Service):
    """Publishes the whole VM list whenever upstreams or members change."""

    def __init__(self, node: Node) -> None:
        """Subscribe to upstreams, members and ticks."""
        self._node = node
        self._restored: RestoredStore = node.part(
            Extension.SERVICE, 'restored-store'
        )
        # The workers as the store lists them.
        self._listed: tuple[Vm, ...] = ()
        self._may_be_held = False
        self._upstreams: tuple[Vm, ...] = ()
        self._members: tuple[Vm, ...] = ()
        node.events.subscribe(UpstreamsRead, self._on_upstreams)
        node.events.subscribe(MembersChanged, self._on_members)
        node.events.subscribe(Tick, self._on_tick)

    def _on_upstreams(self, event: UpstreamsRead) -> None:
        self._listed = event.vms
        self._update(event.now_ms)

    def _on_tick(self, event: Tick) -> None:
        if self._may_be_held and not self._restored.holds_workers(event.now_ms):
            self._update(event.now_ms)

    def _update(self, now_ms: float) -> None:
        self._may_be_held = self._restored.holds_workers(now_ms)
        self._upstreams = self._restored.upstreams(self._listed, now_ms)
        self._publish(now_ms)

    def _on_members(self, event: MembersChanged) -> None:
        self._members = event.members
        self._publish(event.now_ms)

    def _publish(self, now_ms: float) -> None:
        vm_list = VmList((*self._upstreams, *self._members))
        self._node.events.publish(VmListChanged(vm_list, now_ms))
