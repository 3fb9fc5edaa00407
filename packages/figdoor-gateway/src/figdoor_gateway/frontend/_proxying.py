"""One caller's request from the first attempt to the answer's end."""

from typing import TYPE_CHECKING

from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

from figdoor_gateway.frontend._answers import render_outcome
from figdoor_gateway.frontend._outbound import make_outbound
from figdoor_gateway.frontend._request import CallerRequest
from figdoor_gateway.frontend._writing import AnswerWriter
from figdoor_gateway.loop import Timer, call_later, cancel
from figdoor_gateway.protocols import AnswerHead, OutboundRequest, Sending
from figdoor_kernel import (
    AttemptResult,
    AttemptState,
    Finish,
    Send,
    Wait,
)

if TYPE_CHECKING:
    from figdoor_gateway.frontend._connection import CallerConnection

_FIRST_SERVER_ERROR = 500


@implementer(IPushProducer)
class ProxiedCall:
    """Does the steps of an exchange and passes the answer on.

    It is the receiver of each attempt and the producer of the caller's
    connection, so that a slow caller slows the upstream's answer down.
    """

    def __init__(
        self,
        connection: 'CallerConnection',
        request: CallerRequest,
    ) -> None:
        """Open the exchange."""
        self._connection = connection
        self._front_end = connection.front_end
        self._clock = connection.front_end.clock
        self._request = request
        self._exchange = connection.front_end.dispatcher.open(
            request.as_call(),
            self._clock.now_ms(),
            self._advance,
        )
        self._writer: AnswerWriter | None = None
        self._outbound: OutboundRequest | None = None
        self._sending: Sending | None = None
        self._attempts = 0
        self._was_shed = False
        self._is_late = False
        self._is_over = False
        self._status = 0
        self._deadline_timer: Timer | None = None
        self._wait_timer: Timer | None = None

    def start(self) -> None:
        """Begin the first attempt."""
        routed = self._exchange.routed
        if routed is not None:
            left_ms = routed.deadline_ms - self._clock.now_ms()
            self._deadline_timer = call_later(left_ms, self._on_deadline)
        if not self._request.body_complete:
            self._request.on_data = self._on_late_body
            self._request.on_end = self._on_body_end
        self._advance()

    def abandon(self) -> None:
        """Give up, because the caller went away."""
        if not self._is_over:
            self._end()
            self._give_up()

    def may_send(self) -> bool:
        """Check all rules right before the first byte leaves."""
        return self._exchange.confirm_send(self._clock.now_ms())

    def unsent(self, refused: bool) -> None:
        """Try elsewhere, since no byte left."""
        self._sending = None
        if refused:
            self._end_attempt(AttemptState.UNSENT_FAILURE, died=True)
        self._advance()

    def head(self, head: AnswerHead) -> None:
        """Pass the head on, unless the upstream shed the request."""
        if head.report is not None:
            self._exchange.report(head.report, self._clock.now_ms())
        self._was_shed = head.shed
        self._status = head.status
        if not head.shed:
            self._exchange.begin_answer()
            self._writer = AnswerWriter(
                self._connection.transport,
                self._keeps_open(),
                self._request.http10,
            )
            self._writer.head(head, self)

    def body(self, data: bytes) -> None:
        """Pass a part of the body on."""
        if self._writer is not None:
            self._writer.body(data)

    def complete(self) -> None:
        """Finish the answer, or try elsewhere where it was shed."""
        self._sending = None
        if self._writer is None:
            self._end_attempt(AttemptState.SHED)
            self._was_shed = False
            self._advance()
            return
        self._end()
        self._writer.finish()
        failed = self._status >= _FIRST_SERVER_ERROR
        self._end_attempt(AttemptState.ANSWERED, failed=failed)
        self._connection.finish_request(self._keeps_open())

    def lost(self, connection_died: bool) -> None:
        """Cut the caller's answer if it has begun, else decide anew."""
        self._sending = None
        if self._was_shed:
            self.complete()
            return
        self._end_attempt(AttemptState.LOST, died=connection_died)
        if self._writer is None:
            self._advance()
        else:
            self._end()
            self._connection.abort()

    def pauseProducing(self) -> None:  # noqa: N802
        """Slow the upstream down, because the caller reads slowly."""
        if self._sending is not None:
            self._sending.pause()

    def resumeProducing(self) -> None:  # noqa: N802
        """Let the upstream go on."""
        if self._sending is not None:
            self._sending.resume()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; the lost connection is reported separately."""

    def _advance(self) -> None:
        if self._is_over:
            return
        cancel(self._wait_timer)
        step = self._exchange.next_step(self._clock.now_ms())
        if isinstance(step, Send):
            self._send(step)
        elif isinstance(step, Wait):
            left_ms = step.until_ms - self._clock.now_ms()
            self._wait_timer = call_later(left_ms, self._advance)
        else:
            self._tell(step)

    def _send(self, step: Send) -> None:
        self._attempts += 1
        attempt = self._attempts
        previous = self._outbound
        body = previous.body if previous else bytes(self._request.body)
        self._outbound = make_outbound(
            self._request,
            body,
            step,
            self._clock.now_ms(),
        )
        sending = self._front_end.transport.send(
            step.upstream,
            self._outbound,
            self,
        )
        # A refused attempt may have been followed by another one already.
        if attempt == self._attempts and not self._is_over:
            self._sending = sending

    def _on_late_body(self, data: bytes) -> None:
        if self._sending is not None:
            self._sending.send_body(data)
        elif self._outbound is not None:
            self._outbound.body += data

    def _on_body_end(self) -> None:
        if self._sending is not None:
            self._sending.finish_body()

    def _on_deadline(self) -> None:
        self._is_late = True
        self._give_up()
        if self._writer is None:
            self._advance()
        else:
            self._end()
            self._connection.abort()

    def _give_up(self) -> None:
        self._exchange.abandon(self._clock.now_ms())
        if self._sending is not None:
            self._sending.cancel()
            self._sending = None

    def _tell(self, finish: Finish) -> None:
        self._end()
        keep_open = self._keeps_open()
        self._connection.transport.write(
            render_outcome(
                finish.outcome,
                finish.refusal,
                self._is_late,
                keep_open,
                bodiless=self._request.method == b'HEAD',
            ),
        )
        self._connection.finish_request(keep_open)

    def _keeps_open(self) -> bool:
        request = self._request
        if request.http10 or not request.keep_alive:
            return False
        return request.body_complete and not self._front_end.is_draining

    def _end_attempt(
        self,
        state: AttemptState,
        failed: bool = False,
        died: bool = False,
    ) -> None:
        self._exchange.end(
            AttemptResult(state, failed, died),
            self._clock.now_ms(),
        )

    def _end(self) -> None:
        self._is_over = True
        cancel(self._wait_timer)
        cancel(self._deadline_timer)
