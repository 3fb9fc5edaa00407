"""Metrics of messages between nodes."""

from prometheus_client import CollectorRegistry, Counter

SENT = 'sent'
RECEIVED = 'received'


class PeerCounters:
    """Counters of messages, bytes and dropped messages."""

    def __init__(self, collectors: CollectorRegistry) -> None:
        """Register the counters with the node's other metrics."""
        self._messages = Counter(
            'figdoor_peer_messages',
            'Messages between nodes by direction and kind',
            ('direction', 'kind'),
            registry=collectors,
        )
        self._bytes = Counter(
            'figdoor_peer_bytes',
            'Bytes of messages between nodes, without IP and UDP headers',
            ('direction',),
            registry=collectors,
        )
        self._dropped = Counter(
            'figdoor_peer_dropped',
            'Messages dropped, by reason',
            ('reason',),
            registry=collectors,
        )

    def count(self, direction: str, kind: str, size_bytes: int) -> None:
        """Count one message that was sent or received."""
        self._messages.labels(direction, kind).inc()
        self._bytes.labels(direction).inc(size_bytes)

    def count_dropped(self, reason: str) -> None:
        """Count a message that was rejected, not sent or not answered."""
        self._dropped.labels(reason).inc()
