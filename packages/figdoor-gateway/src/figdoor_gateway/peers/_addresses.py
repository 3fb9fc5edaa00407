"""Addresses of the nodes in the VM list."""

from functools import lru_cache
from ipaddress import ip_address

from figdoor_kernel import Node, NodeId, VmListChanged

Address = tuple[str, int]
MAX_CACHED_HOSTS = 4096


class Addresses:
    """Peer addresses of the listed nodes.

    Messages to a node id are sent to its listed address, and requests of other
    hosts are rejected.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to the VM list."""
        self._node = node
        self._by_node: dict[NodeId, Address] = {}
        self._hosts: frozenset[str] = frozenset()
        self.has_vm_list = False
        node.events.subscribe(VmListChanged, self._on_vm_list)

    def of(self, node_id: NodeId) -> Address | None:
        """Return the address of a node, ``None`` if it is not listed."""
        return self._by_node.get(node_id)

    def matches(self, node_id: NodeId, address: Address) -> bool:
        """Return whether this is the listed address of the node."""
        return self._by_node.get(node_id) == address

    def has_host(self, host: str) -> bool:
        """Return whether any listed node runs on this host."""
        return host in self._hosts

    def _on_vm_list(self, event: VmListChanged) -> None:
        self.has_vm_list = True
        self._by_node = {
            NodeId(vm.vm_id): (_canonical_host(vm.host), vm.port)
            for vm in self._node.fleet.nodes()
        }
        self._hosts = frozenset(host for host, _ in self._by_node.values())


# Parsing the addresses of 312 nodes takes longer than all other parts need for
# a new VM list together.
@lru_cache(maxsize=MAX_CACHED_HOSTS)
def _canonical_host(host: str) -> str:
    """Return an IP address in the form that sockets report."""
    try:
        return str(ip_address(host))
    except ValueError:
        return host
