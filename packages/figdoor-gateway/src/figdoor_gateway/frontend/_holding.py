"""What a connection of a caller, and a call on it, hold in memory."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from figdoor_decisions.caller_memory import (
    SMALL_BYTES,
    CallerPhase,
    CallerUse,
)
from figdoor_gateway.frontend._request import CallerRequest
from figdoor_gateway.frontend._upload import Upload
from figdoor_gateway.protocols import OutboundRequest
from figdoor_gateway.sockets import unsent_bytes
from figdoor_kernel import CallerId

if TYPE_CHECKING:
    from figdoor_gateway.frontend._attempt import ProxiedAttempt
    from figdoor_gateway.frontend._caller_response import CallerResponse
    from figdoor_gateway.frontend._connection import CallerConnection


@dataclass(slots=True)
class CallHolding:
    """The request of a call, and what waits to be sent for it."""

    request: CallerRequest
    response: 'CallerResponse'
    attempts: 'dict[int, ProxiedAttempt]'
    outbound: OutboundRequest | None = None
    upload: Upload | None = None

    @property
    def held_bytes(self) -> int:
        """Size of all of it."""
        held_bytes = self.request.held_bytes + self.response.held_bytes
        if self.outbound is not None:
            held_bytes += len(self.outbound.body)
        if self.upload is not None:
            held_bytes += self.upload.buffered_bytes
        for attempt in self.attempts.values():
            if attempt.handle is not None:
                held_bytes += attempt.handle.unsent_bytes
        return held_bytes


class ConnectionHolding:
    """Records what a connection holds, and describes it for decisions."""

    def __init__(self, connection: 'CallerConnection') -> None:
        """Start without an id, which the open connection gets."""
        self.caller = CallerId(0)
        self._connection = connection
        self._limiter = connection.front_end.limiter
        # Bytes that were received or read by the caller, and the time, since
        # the connection began to hold more than a small request.
        self._moved_bytes = 0
        self._since_ms: float | None = None

    @property
    def held_bytes(self) -> int:
        """Bytes of requests and answers that the connection holds."""
        connection = self._connection
        held_bytes = connection.reader.held_bytes
        held_bytes += unsent_bytes(connection.transport)
        if connection.call is not None:
            held_bytes += connection.call.holding.held_bytes
        return held_bytes

    def open(self) -> None:
        """Add the connection to those that share the limits."""
        self.caller = self._limiter.add(self._connection)

    def close(self) -> None:
        """Remove the connection, whose memory is freed."""
        self._limiter.remove(self.caller)

    def record_received(self, received_bytes: int) -> None:
        """Record a read; a small request that it completes is not recorded."""
        is_small = self._since_ms is None and received_bytes <= SMALL_BYTES
        if not is_small or self._connection.reader.has_request:
            self.record(received_bytes)

    def record_finished(self) -> None:
        """Record the end of a request, if it or its answer is not small."""
        is_small = self._since_ms is None
        if not is_small or unsent_bytes(self._connection.transport):
            self.record()

    def record(self, moved_bytes: int = 0) -> None:
        """Record what the connection holds, after it may have changed."""
        held_bytes = self.held_bytes
        if held_bytes > SMALL_BYTES:
            if self._since_ms is None:
                self._since_ms = self._now_ms()
            self._moved_bytes += moved_bytes
        elif self._since_ms is None:
            return
        else:
            self._since_ms = None
            self._moved_bytes = 0
        self._limiter.record(self.caller, held_bytes)

    def describe(self) -> CallerUse:
        """Return what the connection holds, and what it waits for."""
        now_ms = self._now_ms()
        return CallerUse(
            self.caller,
            self._phase(),
            self.held_bytes,
            self._connection.reader.queued_bytes,
            self._moved_bytes,
            0 if self._since_ms is None else now_ms - self._since_ms,
            self._connection.activity.idle_ms(now_ms),
        )

    def _now_ms(self) -> float:
        return self._connection.front_end.clock.now_ms()

    def _phase(self) -> CallerPhase:
        connection = self._connection
        call = connection.call
        if connection.is_closing:
            return CallerPhase.CLOSING
        if connection.is_write_buffer_full:
            return CallerPhase.ANSWERING
        if call is not None:
            if call.holding.request.body_complete:
                return CallerPhase.RUNNING
            return CallerPhase.UPLOADING
        if connection.reader.has_request:
            return CallerPhase.READING
        return self._phase_between_requests()

    def _phase_between_requests(self) -> CallerPhase:
        if unsent_bytes(self._connection.transport):
            return CallerPhase.ANSWERING
        if self._connection.activity.has_received_data:
            return CallerPhase.IDLE
        return CallerPhase.NEW
