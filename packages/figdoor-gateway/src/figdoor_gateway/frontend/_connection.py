"""One connection of a caller: requests in order, one at a time."""

from typing import TYPE_CHECKING, Any

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from figdoor_gateway.frontend._answers import render_error
from figdoor_gateway.frontend._checks import BadRequestError
from figdoor_gateway.frontend._intake import Intake
from figdoor_gateway.frontend._proxying import ProxiedCall
from figdoor_gateway.loop import Timer, call_later, cancel
from figdoor_gateway.sockets import is_readable, write_now

if TYPE_CHECKING:
    from figdoor_gateway.frontend._server import HttpFrontEnd

# Closing a socket with unread data resets it, which can destroy the answer on
# its way; what a caller still sends is read and dropped for this long.
LINGER_MS = 1000
# A caller that has just connected is about to send its first request.
FIRST_REQUEST_MS = 1000
_TIMED_OUT = BadRequestError(408, b'Request Timeout')


@implementer(IPushProducer)
class CallerConnection(Protocol):
    """Has each request answered before the next is begun.

    It is the producer of its own transport, so that it hears when the caller
    reads slower than answers come.
    """

    def __init__(self, front_end: 'HttpFrontEnd') -> None:
        """Start without a request."""
        self.transport: Any = None
        self.front_end = front_end
        self.proxied: ProxiedCall | None = None
        self.is_write_full = False
        self._settings = front_end.settings
        self._intake = Intake(self._settings, self.write)
        self._last_active_ms = front_end.clock.now_ms()
        self._head_begun_ms: float | None = None
        self._closing = False
        self._was_used = False
        self._is_starting = False
        self._linger_timer: Timer | None = None

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress or being read."""
        return self.proxied is not None or self._intake.has_request

    def connectionMade(self) -> None:  # noqa: N802
        """Join the front end's connections."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._intake.transport = self.transport
        self.front_end.add(self)

    def connectionLost(  # noqa: N802
        self,
        reason: Failure = connectionDone,
    ) -> None:
        """Abandon what is in progress, since nobody awaits it."""
        self._closing = True
        cancel(self._linger_timer)
        self._abandon()
        self.front_end.remove(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse and start the next request."""
        if self._closing:
            return
        self._was_used = True
        intake = self._intake
        intake.feed(data)
        self._note_activity()
        if self.proxied is not None and intake.error is not None:
            self.proxied.refuse_body(intake.error)
        self._start_next()

    def pauseProducing(self) -> None:  # noqa: N802
        """Slow the upstream down, because the caller reads slowly."""
        self.is_write_full = True
        if self.proxied is not None:
            self.proxied.pause()

    def resumeProducing(self) -> None:  # noqa: N802
        """Go on with the answer, or with the next request."""
        self.is_write_full = False
        self._last_active_ms = self.front_end.clock.now_ms()
        if self.proxied is None:
            self._start_next()
        else:
            self.proxied.resume()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; the lost connection is reported separately."""

    def pause_upload(self) -> None:
        """Read nothing more of the body in progress for now."""
        self._intake.pause_upload()

    def resume_upload(self) -> None:
        """Go on reading the body in progress."""
        self._intake.resume_upload()

    def write(self, data: bytes) -> None:
        """Write to the caller."""
        write_now(self.transport, data)

    def finish_request(self, keep_open: bool) -> None:
        """Go on after an answer was written completely."""
        self.proxied = None
        self._intake.resume_upload()
        self._note_activity()
        if keep_open and not self._closing:
            self._start_next()
        else:
            self.close()

    def close(self) -> None:
        """Close after everything written has left."""
        if self._closing:
            return
        self._closing = True
        self.transport.unregisterProducer()
        if self._intake.is_at_boundary:
            self.transport.loseConnection()
            return
        self._intake.discard()
        self.transport.loseWriteConnection()
        self._linger_timer = call_later(LINGER_MS, self.abort)

    def close_if_unused(self, now_ms: float) -> None:
        """Close a connection on which no request is on its way."""
        if self._closing or self.is_busy or is_readable(self.transport):
            return
        silent_ms = now_ms - self._last_active_ms
        if self._was_used or silent_ms >= FIRST_REQUEST_MS:
            self.close()

    def abort(self) -> None:
        """Close at once, so that a cut answer does not look complete."""
        self._closing = True
        self._abandon()
        self.transport.abortConnection()

    def check_timeouts(self, now_ms: float) -> None:
        """Close the connection where the caller is too slow or silent.

        A request in progress has its deadline instead.
        """
        if self.proxied is not None:
            return
        settings = self.front_end.settings
        silent_ms = now_ms - self._last_active_ms
        if self._closing or self.is_write_full:
            if silent_ms > settings.idle_timeout_ms:
                self.abort()
        elif self._intake.has_request:
            if self._reading_ms(now_ms) > settings.header_timeout_ms:
                self._refuse(_TIMED_OUT)
        elif silent_ms > settings.idle_timeout_ms:
            self.close()

    def _reading_ms(self, now_ms: float) -> float:
        """Return how long a head has taken, or a body has made no progress."""
        if self._head_begun_ms is None:
            return now_ms - self._last_active_ms
        return now_ms - self._head_begun_ms

    def _start_next(self) -> None:
        # A request that is refused at once finishes inside ``start``, so a
        # loop and not a recursion goes through pipelined requests.
        if self._is_starting:
            return
        self._is_starting = True
        while self._can_start() and self._intake.next_is_ready():
            self.proxied = ProxiedCall(self, self._intake.take())
            self.proxied.start()
        self._is_starting = False
        if self._can_start() and self._intake.error is not None:
            self._refuse(self._intake.error)
        if self._can_start():
            self._intake.invite_body()
        if not self._closing:
            self._intake.regulate(self.proxied is not None)

    def _can_start(self) -> bool:
        return not (self.proxied or self._closing or self.is_write_full)

    def _note_activity(self) -> None:
        now_ms = self.front_end.clock.now_ms()
        self._last_active_ms = now_ms
        if not self._intake.in_head:
            self._head_begun_ms = None
        elif self._head_begun_ms is None:
            self._head_begun_ms = now_ms

    def _refuse(self, error: BadRequestError) -> None:
        self.front_end.count_malformed()
        self.write(render_error(error.status, error.phrase))
        self.close()

    def _abandon(self) -> None:
        proxied = self.proxied
        self.proxied = None
        if proxied is not None:
            proxied.abandon()
