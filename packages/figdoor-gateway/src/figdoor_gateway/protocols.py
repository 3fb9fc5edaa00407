"""Interfaces between front ends, dialects and upstream transports.

Each of them depends on these types only and can be replaced on its own.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum, unique
from math import inf
from typing import Protocol

from figdoor_kernel import Finish, LoadReport, Send, Upstream

Headers = Sequence[tuple[bytes, bytes]]


class BodySource(Protocol):
    """Streams the rest of a request body with flow control.

    It starts paused, and is resumed once the request is being sent.
    """

    def pause_body(self) -> None:
        """Stop streaming, because the upstream reads slowly."""

    def resume_body(self) -> None:
        """Continue streaming."""


@dataclass(slots=True)
class OutboundRequest:
    """A request to an upstream.

    ``body`` is the part of the body received so far, and ``body_complete``
    says whether it is the whole body. ``body_length`` is ``None`` for a body
    of unknown length. ``body_source`` streams the rest, if any. The request
    may reuse a connection that has been idle for at most ``max_idle_ms``.
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
class ResponseHead:
    """Status and headers of a response, without hop-by-hop headers.

    ``body_length`` is ``None`` if the length is not known in advance. ``shed``
    says that the upstream refused the request without running it.
    ``inner_outcome`` says that the response carries the outcome of another
    gateway behind the upstream. ``leaving`` and ``backoff_ms`` are those of
    ``ResponseInfo``.
    """

    status: int
    reason: bytes
    headers: Headers
    body_length: int | None
    shed: bool
    inner_outcome: bool
    report: LoadReport | None
    leaving: bool = False
    backoff_ms: float = 0


@unique
class ResponseKind(Enum):
    """Classification of an upstream's response by its head."""

    VALID = 'answer'
    SHED = 'shed'
    # Response to an earlier request on the same connection.
    STRAY = 'stray'
    # Not to be forwarded to the caller; the request may have run.
    INVALID = 'invalid'


@dataclass(frozen=True, slots=True)
class ResponseInfo:
    """What a dialect reads from the head of a response.

    ``leaving`` says that the upstream is about to stop. ``backoff_ms`` is the
    time for which an upstream that shed the request wants no other one.
    """

    kind: ResponseKind
    report: LoadReport | None = None
    inner_outcome: bool = False
    leaving: bool = False
    backoff_ms: float = 0


@dataclass(frozen=True, slots=True)
class LocalResponse:
    """A response that the node generates itself."""

    status: int
    reason: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    text: bytes


class Dialect(Protocol):
    """The headers and statuses used with callers and upstreams.

    Header names are in lower case, in arguments and in results.
    """

    # Whether a response body may be delimited by the close of the connection
    # (RFC 9112, section 6.3).
    allows_close_delimited_body: bool

    def request_id(self, headers: Headers) -> str:
        """Return the caller's request id, or an empty string."""

    def time_left_ms(self, headers: Headers) -> float | None:
        """Return how long the caller waits, ``None`` if it is not stated."""

    def key(self, headers: Headers) -> bytes | None:
        """Return the key that identifies the caller's tenant, if any."""

    def request_headers(
        self,
        headers: Headers,
        step: Send,
        left_ms: int,
    ) -> list[tuple[bytes, bytes]]:
        """Return the end-to-end headers for one attempt.

        ``left_ms`` is the time until the deadline of the attempt. Unless
        ``step.key_state`` is ``UNUSED``, the key is left out and the tenant
        is that of the step, whatever the caller sent.
        """

    def classify_response(
        self,
        status: int,
        headers: Mapping[bytes, bytes],
        request: Headers,
    ) -> ResponseInfo:
        """Classify the response to a request with the headers ``request``."""

    def response_headers(self, headers: Headers) -> list[tuple[bytes, bytes]]:
        """Return the headers of an upstream's response for the caller."""

    def local_response(
        self,
        finish: Finish,
        deadline_passed: bool,
        request: Headers,
    ) -> LocalResponse:
        """Return the response for an outcome other than answered.

        ``deadline_passed`` says that the deadline passed before the outcome
        was known.
        """

    def probe(self, path: str) -> 'OutboundRequest':
        """Return the request that probes an upstream."""

    def probe_report(
        self,
        upstream: Upstream,
        status: int,
        headers: Headers,
    ) -> LoadReport | None:
        """Return the load report of a probe, ``None`` if the probe failed."""

    def is_from(self, upstream: Upstream, headers: Headers) -> bool:
        """Return whether the response to a probe is from this upstream.

        Another upstream may have taken over its address.
        """


class ResponseReceiver(Protocol):
    """Callbacks for the progress of one attempt.

    An attempt that is not cancelled ends with exactly one of ``on_unsent``,
    ``on_complete`` and ``on_lost``.
    """

    def confirm_send(self) -> bool:
        """Return whether the request may still be sent.

        Called right before the first byte is written.
        """

    def on_unsent(self, refused: bool) -> None:
        """Handle an attempt of which no byte was sent.

        ``refused`` says that no connection could be opened. Otherwise the
        send was not confirmed or the connection limit was reached.
        """

    def on_head(self, head: ResponseHead) -> None:
        """Handle the head of the response."""

    def on_body(self, data: bytes) -> None:
        """Handle a part of the response body."""

    def flush(self) -> None:
        """Forward what has been received so far; more will follow."""

    def on_complete(self) -> None:
        """Handle the end of a complete response."""

    def on_lost(self, connection_died: bool) -> None:
        """Handle a request that was sent and got no complete response."""


class RequestHandle(Protocol):
    """Handle of a request in flight in an upstream transport."""

    @property
    def unsent_bytes(self) -> int:
        """Bytes of the request that the upstream has not received yet."""

    def cancel(self) -> None:
        """Cancel the request; the receiver gets no further callbacks."""

    def send_body(self, data: bytes) -> None:
        """Send a further part of the request body."""

    def finish_body(self) -> None:
        """End the request body."""

    def pause(self) -> None:
        """Stop reading the response until ``resume``."""

    def resume(self) -> None:
        """Continue reading the response."""


class UpstreamTransport(Protocol):
    """Sends requests to upstreams."""

    def send(
        self,
        upstream: Upstream,
        request: OutboundRequest,
        receiver: ResponseReceiver,
    ) -> RequestHandle:
        """Send a request over an idle or a new connection."""

    def stop(self) -> None:
        """Close all idle connections."""


class FrontEnd(Protocol):
    """Receives callers' requests."""

    @property
    def unfinished_count(self) -> int:
        """Number of connections with a response not yet fully sent."""

    def start(self) -> None:
        """Open the listener."""

    def drain(self) -> None:
        """Ask callers to close their connections after the next response."""

    def close(self, on_idle: Callable[[], None]) -> None:
        """Close the listener; call ``on_idle`` once nothing is in progress."""

    def abort(self) -> None:
        """Abort everything that is still in progress."""
