"""What one caller is told: an upstream's answer, or the node's own."""

from typing import TYPE_CHECKING

from figdoor_gateway.frontend._answers import render_error, render_own
from figdoor_gateway.frontend._checks import BadRequestError
from figdoor_gateway.frontend._request import CallerRequest
from figdoor_gateway.frontend._writing import AnswerWriter
from figdoor_gateway.protocols import AnswerHead
from figdoor_kernel import Finish, Outcome, Refusal

if TYPE_CHECKING:
    from figdoor_gateway.frontend._connection import CallerConnection


class Delivery:
    """Writes one answer on the caller's connection."""

    def __init__(
        self,
        connection: 'CallerConnection',
        request: CallerRequest,
    ) -> None:
        """Start before the answer."""
        self._connection = connection
        self._request = request
        self._writer: AnswerWriter | None = None

    @property
    def has_begun(self) -> bool:
        """Whether a part of the answer has left for the caller."""
        return self._writer is not None and self._writer.held_bytes is None

    @property
    def is_oversized(self) -> bool:
        """Whether more is held than a node spends on one caller."""
        held_bytes = self._writer.held_bytes if self._writer else None
        limit_bytes: float = self._connection.front_end.settings.max_body_bytes
        return held_bytes is not None and held_bytes > limit_bytes

    def begin(self, head: AnswerHead) -> None:
        """Take the head of the upstream's answer."""
        self._writer = AnswerWriter(
            self._connection.transport,
            self._keeps_open(),
            self._request.http10,
            head,
            self._connection.front_end.dialect,
        )

    def body(self, data: bytes) -> None:
        """Pass a part of the body on."""
        if self._writer is not None:
            self._writer.body(data)

    def flush(self) -> None:
        """Write what has come so far."""
        if self._writer is not None:
            self._writer.flush()

    def write_end(self) -> None:
        """Write the end of the upstream's answer."""
        if self._writer is not None:
            self._writer.finish()

    def finish(self) -> None:
        """Let the connection go on after the end was written."""
        writer = self._writer
        if writer is not None:
            keep_open = writer.keep_alive and self._keeps_open()
            self._connection.finish_request(keep_open)

    def discard(self) -> None:
        """Forget an answer of which nothing has left."""
        self._writer = None

    def tell(self, finish: Finish, is_late: bool) -> None:
        """Write the outcome of a call that was not answered."""
        keep_open = self._keeps_open()
        dialect = self._connection.front_end.dialect
        self._connection.write(
            render_own(
                dialect.own_answer(
                    finish,
                    is_late or finish.refusal is Refusal.DEADLINE,
                    self._request.headers,
                ),
                keep_open,
                bodiless=self._request.method == b'HEAD',
            ),
        )
        self._connection.finish_request(keep_open)

    def refuse(self, error: BadRequestError, outcome: Outcome) -> None:
        """Write that the rest of the request cannot be taken."""
        self._connection.front_end.count_malformed()
        self._connection.write(
            render_error(error.status, error.phrase, outcome),
        )
        self._connection.finish_request(keep_open=False)

    def _keeps_open(self) -> bool:
        request = self._request
        if request.http10 or not request.keep_alive:
            return False
        draining = self._connection.front_end.is_draining
        return request.body_complete and not draining
