"""Refuses requests in quarantine before an upstream is selected."""

from figdoor_decisions.suspects._suspects import SuspectedRequests
from figdoor_kernel import Extension, Node, Refusal, RoutedCall


class QuarantineRule:
    """Refuses new calls, retries and attempts that are about to be sent."""

    def __init__(self, node: Node) -> None:
        """Use the node's record of suspected requests."""
        self._suspects: SuspectedRequests = node.part(
            Extension.SERVICE, 'suspects'
        )

    def admit(
        self,
        routed: RoutedCall,
        attempts_made: int,
        now_ms: float,
    ) -> Refusal | None:
        """Refuse a call whose request is in quarantine."""
        if self._suspects.is_quarantined(routed, now_ms):
            return Refusal.QUARANTINED
        return None
