"""Refuses requests in quarantine before an upstream is sought."""

from figdoor_decisions.suspects._suspects import Suspects
from figdoor_kernel import Extension, Node, Refusal, RoutedCall


class QuarantineRule:
    """Stops further runs, retries and copies that are about to be sent."""

    def __init__(self, node: Node) -> None:
        """Use the node's record of deaths."""
        self._suspects: Suspects = node.part(Extension.SERVICE, 'suspects')

    def admit(
        self,
        routed: RoutedCall,
        attempts_made: int,
        now_ms: float,
    ) -> Refusal | None:
        """Refuse calls in quarantine."""
        if self._suspects.is_quarantined(routed, now_ms):
            return Refusal.QUARANTINED
        return None
