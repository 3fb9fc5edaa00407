"""What front ends and upstream transports agree on.

Both sides speak in these terms, so that either can be replaced alone.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum, unique
from math import inf
from typing import Protocol

from figdoor_kernel import Finish, LoadReport, Send, Upstream

Headers = Sequence[tuple[bytes, bytes]]


class BodySource(Protocol):
    """Hands over the rest of a request's body as fast as it is taken.

    It starts paused, and is resumed once the request is being sent.
    """

    def pause_body(self) -> None:
        """Hold the body back, because the upstream reads slowly."""

    def resume_body(self) -> None:
        """Go on handing the body over."""


@dataclass(slots=True)
class OutboundRequest:
    """A request as it goes to an upstream.

    ``body`` holds the part that has arrived; ``body_complete`` says whether
    that is all. ``body_length`` is ``None`` for a body of unknown length.
    ``body_source`` is set where more of the body may come. A kept connection
    may carry it if it was used within ``max_idle_ms``.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    body_complete: bool
    body_length: int | None
    body_source: BodySource | None = None
    max_idle_ms: float = inf


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """The head of an answer, without hop-by-hop headers.

    ``body_length`` is ``None`` where the body comes in chunks.
    """

    status: int
    reason: bytes
    headers: Headers
    body_length: int | None
    shed: bool
    inner_outcome: bool
    report: LoadReport | None


@unique
class AnswerKind(Enum):
    """What the head of an upstream's answer says about the request."""

    ANSWER = 'answer'
    SHED = 'shed'
    # It belongs to an earlier request of the connection.
    STRAY = 'stray'
    # It is no answer that a caller may get; the request may have run.
    INVALID = 'invalid'


@dataclass(frozen=True, slots=True)
class AnswerFacts:
    """What a dialect reads in the head of an answer."""

    kind: AnswerKind
    report: LoadReport | None = None
    inner_outcome: bool = False


@dataclass(frozen=True, slots=True)
class OwnAnswer:
    """What a caller is told by the node itself."""

    status: int
    reason: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    text: bytes


class Dialect(Protocol):
    """The headers and statuses agreed on with callers and upstreams.

    Header names are in lower case on both sides.
    """

    # Whether the close of a connection may end a body of unknown length.
    closing_ends_body: bool

    def request_id(self, headers: Headers) -> str:
        """Return the caller's own id of the request, empty for none."""

    def time_left_ms(self, headers: Headers) -> float | None:
        """Return how long the caller waits, ``None`` where it did not say."""

    def request_headers(
        self,
        headers: Headers,
        step: Send,
        left_ms: int,
    ) -> list[tuple[bytes, bytes]]:
        """Return the end-to-end headers for one attempt.

        ``left_ms`` is the time that is left for it.
        """

    def answer_facts(
        self,
        status: int,
        headers: Mapping[bytes, bytes],
        request: Headers,
    ) -> AnswerFacts:
        """Read the head of an answer to a request with these headers."""

    def answer_headers(self, headers: Headers) -> list[tuple[bytes, bytes]]:
        """Return the headers of an answer as the caller gets them."""

    def own_answer(
        self,
        finish: Finish,
        late: bool,
        request: Headers,
    ) -> OwnAnswer:
        """Return how to tell an outcome other than answered.

        ``late`` says that the deadline passed before the outcome was known.
        """

    def probe(self, path: str) -> 'OutboundRequest':
        """Return the request that asks an upstream for its load."""

    def probe_report(
        self,
        upstream: Upstream,
        status: int,
        headers: Headers,
    ) -> LoadReport | None:
        """Return the report in a probe's answer, ``None`` where it failed."""


class AnswerReceiver(Protocol):
    """Hears what becomes of one attempt.

    Exactly one of ``unsent``, ``complete`` and ``lost`` ends it.
    """

    def may_send(self) -> bool:
        """Check once more, right before the first byte leaves."""

    def unsent(self, refused: bool) -> None:
        """Note that no byte left.

        ``refused`` says that the upstream took no connection; otherwise the
        send was not confirmed or the limit of connections was reached.
        """

    def head(self, head: AnswerHead) -> None:
        """Take the head of the answer."""

    def body(self, data: bytes) -> None:
        """Take a part of the answer's body."""

    def flush(self) -> None:
        """Pass on what was taken so far, since no more has arrived yet."""

    def complete(self) -> None:
        """Note the end of a whole answer."""

    def lost(self, connection_died: bool) -> None:
        """Note that the request was sent and its end is not known."""


class Sending(Protocol):
    """One attempt under way in an upstream transport."""

    def cancel(self) -> None:
        """Give up; nothing is reported to the receiver afterwards."""

    def send_body(self, data: bytes) -> None:
        """Send a further part of the request's body."""

    def finish_body(self) -> None:
        """Note that the request's body is complete."""

    def pause(self) -> None:
        """Stop reading the answer until ``resume``."""

    def resume(self) -> None:
        """Go on reading the answer."""


class UpstreamTransport(Protocol):
    """Carries requests to upstreams."""

    def send(
        self,
        upstream: Upstream,
        request: OutboundRequest,
        receiver: AnswerReceiver,
    ) -> Sending:
        """Send a request over a warm or a new connection."""

    def stop(self) -> None:
        """Close all idle connections."""


class FrontEnd(Protocol):
    """Takes callers' requests."""

    @property
    def unfinished_count(self) -> int:
        """How many connections have an answer still to come or to leave."""

    def start(self) -> None:
        """Open the listener."""

    def drain(self) -> None:
        """Ask callers to close their connections after the next answer."""

    def close(self, on_idle: Callable[[], None]) -> None:
        """Close the listener and call back once nothing is in progress."""

    def abort(self) -> None:
        """End everything that is still in progress."""
