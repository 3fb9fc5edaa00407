"""Where nodes are, by the VM list."""

from ipaddress import ip_address

from figdoor_kernel import Node, NodeId, VmListChanged

Address = tuple[str, int]


class Addresses:
    """Peer addresses of all listed nodes; others are not spoken to."""

    def __init__(self, node: Node) -> None:
        """Follow the VM list."""
        self._node = node
        self._by_node: dict[NodeId, Address] = {}
        self._hosts: frozenset[str] = frozenset()
        self.has_list = False
        node.events.subscribe(VmListChanged, self._on_vm_list)

    def of(self, node_id: NodeId) -> Address | None:
        """Return the address of a listed node."""
        return self._by_node.get(node_id)

    def is_of(self, node_id: NodeId, address: Address) -> bool:
        """Return whether a datagram from there may be this node's."""
        return self._by_node.get(node_id) == address

    def has_host(self, host: str) -> bool:
        """Return whether any listed node is on this host."""
        return host in self._hosts

    def _on_vm_list(self, event: VmListChanged) -> None:
        self.has_list = True
        self._by_node = {
            NodeId(vm.vm_id): (_plain(vm.host), vm.port)
            for vm in self._node.fleet.nodes()
        }
        self._hosts = frozenset(host for host, _ in self._by_node.values())


def _plain(host: str) -> str:
    """Return an IP number in the form in which sockets name it."""
    try:
        return str(ip_address(host))
    except ValueError:
        return host
