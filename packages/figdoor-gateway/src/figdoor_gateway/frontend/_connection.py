"""Connection of a caller, which processes one request at a time."""

from typing import TYPE_CHECKING, Any

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from figdoor_gateway.frontend._activity import CallerActivity
from figdoor_gateway.frontend._checks import BadRequestError
from figdoor_gateway.frontend._holding import ConnectionHolding
from figdoor_gateway.frontend._proxying import ProxiedCall
from figdoor_gateway.frontend._reader import RequestReader
from figdoor_gateway.frontend._responses import (
    render_error,
    render_local_response,
)
from figdoor_gateway.frontend._starting import (
    can_start_next,
    parse_waiting,
    reject_invalid_body,
    start_call,
)
from figdoor_gateway.loop import Timer, call_later, cancel
from figdoor_gateway.sockets import is_readable, write_now
from figdoor_kernel import Finish, Outcome, Refusal

if TYPE_CHECKING:
    from figdoor_gateway.frontend._server import HttpFrontEnd

# Closing a socket with unread data resets the connection, which can destroy a
# response in transit. Data of the caller is read and discarded for this time.
LINGER_MS = 1000
# Twisted resumes a producer once the caller has read at least so much.
WRITE_BUFFER_BYTES = 65_536
# Pipelined requests that start in one iteration of the loop. Refused ones end
# at once, and a read may hold 2,000 of them.
STARTS_AT_ONCE = 16
# Time after which a caller that was refused for its memory may try again.
REFUSED_RETRY_AFTER_MS = 250.0
# A caller that has just connected is about to send its first request, so that
# a new connection without data is kept for this time when the node stops.
FIRST_REQUEST_GRACE_MS = 1000
_TIMED_OUT = BadRequestError(408, b'Request Timeout')


@implementer(IPushProducer)
class CallerConnection(Protocol):
    """Completes each response before the next request starts.

    It is the producer of its own transport, which pauses it when the caller
    reads more slowly than the response arrives.
    """

    def __init__(self, front_end: 'HttpFrontEnd') -> None:
        """Start without a request."""
        self.transport: Any = None
        self.front_end = front_end
        self.call: ProxiedCall | None = None
        self.is_write_buffer_full = False
        self.reader = RequestReader(
            front_end.settings, self.write, front_end.clock
        )
        self.activity = CallerActivity(front_end.clock.now_ms())
        self.is_closing = False
        self._is_starting = False
        self._is_start_planned = False
        self._linger_timer: Timer | None = None
        self.holding = ConnectionHolding(self)

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress or being read."""
        return self.call is not None or self.reader.has_request

    def connectionMade(self) -> None:  # noqa: N802
        """Register with the transport and the front end."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.reader.flow.transport = self.transport
        self.front_end.add(self)
        self.holding.open()

    def connectionLost(  # noqa: N802
        self,
        reason: Failure = connectionDone,
    ) -> None:
        """Cancel the request in progress, since the caller disconnected."""
        self.is_closing = True
        cancel(self._linger_timer)
        self._abandon()
        # Without the references of its parser, what the connection holds is
        # freed by reference counting instead of the garbage collector.
        self.reader.release()
        self.reader.flow.close()
        self.holding.close()
        self.front_end.remove(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse and start the next request."""
        if self.is_closing:
            return
        self.activity.has_received_data = True
        self.reader.set_limits(self.front_end.settings)
        self.reader.feed(data)
        self.activity.note_head(
            self.front_end.clock.now_ms(), self.reader.in_head
        )
        reject_invalid_body(self)
        self._start_next()
        self.holding.record_received(len(data))

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading from the upstream, because the caller reads slowly."""
        self.is_write_buffer_full = True
        if self.call is not None:
            self.call.set_paused(True)
        self.holding.record()

    def resumeProducing(self) -> None:  # noqa: N802
        """Continue the response, or start the next request."""
        self.is_write_buffer_full = False
        self.activity.note(self.front_end.clock.now_ms())
        self.holding.record(WRITE_BUFFER_BYTES)
        if self.call is None:
            self._start_next()
        else:
            self.call.set_paused(False)

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; ``connectionLost`` handles a lost connection."""

    def write(self, data: bytes) -> None:
        """Write to the caller."""
        write_now(self.transport, data)

    def finish_request(self, keep_open: bool) -> None:
        """Start the next request or close, after a complete response."""
        self.call = None
        self.reader.flow.resume_upload()
        self.activity.note_head(
            self.front_end.clock.now_ms(), self.reader.in_head
        )
        if keep_open and not self.is_closing:
            self._start_next()
        else:
            self.close()
        self.holding.record_finished()

    def close(self) -> None:
        """Close after everything written has been sent."""
        if self.is_closing:
            return
        self.is_closing = True
        self.transport.unregisterProducer()
        if self.reader.is_at_message_boundary:
            self.transport.loseConnection()
            return
        self.reader.discard()
        self.transport.loseWriteConnection()
        self._linger_timer = call_later(LINGER_MS, self.abort)

    def refuse(self) -> None:
        """Answer that the request being read was not run, and close."""
        refused = Finish(
            Outcome.NOT_RUN,
            Refusal.CALLER_MEMORY,
            REFUSED_RETRY_AFTER_MS,
        )
        dialect = self.front_end.dialect
        request = self.reader.next_request
        headers = request.headers if request else ()
        response = dialect.local_response(refused, False, headers)
        self.write(render_local_response(response, keep_alive=False))
        self.close()

    def evict(self) -> None:
        """End the connection, with a refusal if its request has not run.

        A connection between two requests closes after what was written.
        """
        if self.call is not None:
            self.call.evict(Refusal.CALLER_MEMORY)
        elif self.is_closing or self.reader.has_request:
            self.abort()
        else:
            self.close()
            self.holding.close()

    def close_if_unused(self, now_ms: float) -> None:
        """Close a connection that has no request in progress or unread."""
        if self.is_closing or self.is_busy or is_readable(self.transport):
            return
        idle_ms = self.activity.idle_ms(now_ms)
        if self.activity.has_received_data or idle_ms >= FIRST_REQUEST_GRACE_MS:
            self.close()

    def abort(self) -> None:
        """Reset the connection, so that a truncated response is noticed."""
        self.is_closing = True
        self._abandon()
        self.holding.close()
        self.transport.abortConnection()

    def check_timeouts(self, now_ms: float) -> None:
        """Close the connection of a slow or idle caller.

        A request in progress is limited by its deadline instead.
        """
        if self.call is not None:
            return
        settings = self.front_end.settings
        idle_ms = self.activity.idle_ms(now_ms)
        if self.is_closing or self.is_write_buffer_full:
            if idle_ms > settings.idle_timeout_ms:
                self.abort()
        elif self.reader.has_request:
            read_ms = self.activity.read_duration_ms(now_ms)
            if read_ms > settings.header_timeout_ms:
                self._reject(_TIMED_OUT)
        elif idle_ms > settings.idle_timeout_ms:
            self.close()

    def _start_next(self) -> None:
        # A request that is refused at once finishes inside ``start``. The loop
        # avoids a recursion for each pipelined request.
        if self._is_starting or self._is_start_planned:
            return
        self._is_starting = True
        for _ in range(STARTS_AT_ONCE):
            if not (self._can_start() and can_start_next(self)):
                break
            start_call(self)
            parse_waiting(self)
        else:
            self._is_start_planned = True
            call_later(0, self._start_planned)
        self._is_starting = False
        if self._can_start() and self.reader.error is not None:
            self._reject(self.reader.error)
        if self._can_start():
            self.reader.send_continue()
        if not self.is_closing:
            self.reader.limit_pipelining(not self._can_start())

    def _start_planned(self) -> None:
        self._is_start_planned = False
        self._start_next()
        self.holding.record()

    def _can_start(self) -> bool:
        if self._is_start_planned or self.is_closing:
            return False
        return self.call is None and not self.is_write_buffer_full

    def _reject(self, error: BadRequestError) -> None:
        self.front_end.count_malformed()
        self.write(render_error(error.status, error.phrase))
        self.close()

    def _abandon(self) -> None:
        call = self.call
        self.call = None
        if call is not None:
            call.abandon()
