"""A permit of an owner for one request to an upstream that may be cold."""

from dataclasses import dataclass

from figdoor_kernel import InstanceId, NodeId, RoutedCall, UpstreamId


@dataclass(frozen=True, slots=True)
class Permit:
    """A permit as its holder keeps it.

    It is valid until ``valid_until_ms`` for a call whose deadline is not
    after ``covers_until_ms``. Where ``instance`` is set it is valid only
    while this node is connected to that instance.
    """

    upstream_id: UpstreamId
    owner: NodeId
    token_ms: float
    valid_until_ms: float
    covers_until_ms: float
    instance: InstanceId

    def is_valid(
        self,
        routed: RoutedCall,
        connected_instance: InstanceId,
        now_ms: float,
    ) -> bool:
        """Return whether the call may be sent now.

        ``connected_instance`` is the instance that this node is connected to.
        """
        if now_ms > self.valid_until_ms:
            return False
        if routed.deadline_ms > self.covers_until_ms:
            return False
        return not self.instance or self.instance == connected_instance
