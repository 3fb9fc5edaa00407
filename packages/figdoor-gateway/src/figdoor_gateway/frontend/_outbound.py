"""Builds the requests to upstreams."""

from math import inf

from figdoor_gateway.frontend._request import CallerRequest
from figdoor_gateway.headers import end_to_end
from figdoor_gateway.protocols import BodySource, Dialect, OutboundRequest
from figdoor_gateway.settings import Settings
from figdoor_kernel import RoutedCall, Send

_NOT_FORWARDED = frozenset((b'content-length', b'expect'))


def max_idle_ms(routed: RoutedCall | None, settings: Settings) -> float:
    """Return how long a connection may have been idle to carry a call.

    An upstream may close an idle connection without notice. A request that is
    lost this way cannot be retried unless it is idempotent.
    """
    if routed is None or routed.idempotent:
        return inf
    return settings.kept_connection_ms


def make_outbound(
    request: CallerRequest,
    body: bytes,
    step: Send,
    now_ms: float,
    dialect: Dialect,
    idle_ms: float,
    body_source: BodySource | None = None,
) -> OutboundRequest:
    """Return the request for this attempt, with the headers of the dialect.

    Framing headers are left out, since the transport writes its own, and so
    is ``Expect``, which the node handles itself. The request may reuse a
    connection that was idle for at most ``idle_ms``.
    """
    headers = [
        header
        for header in end_to_end(request.headers)
        if header[0] not in _NOT_FORWARDED
    ]
    left_ms = max(1, int(step.deadline_ms - now_ms))
    upstream_headers = dialect.request_headers(headers, step, left_ms)
    return OutboundRequest(
        request.method,
        request.target,
        upstream_headers,
        body,
        request.body_complete,
        request.body_length,
        body_source,
        idle_ms,
    )
