"""Makes the request that goes to an upstream."""

from math import inf

from figdoor_gateway.frontend._request import CallerRequest
from figdoor_gateway.headers import end_to_end
from figdoor_gateway.protocols import BodySource, Dialect, OutboundRequest
from figdoor_gateway.settings import Settings
from figdoor_kernel import RoutedCall, Send

_REPLACED = frozenset((b'content-length', b'expect'))


def max_idle_ms(routed: RoutedCall | None, settings: Settings) -> float:
    """Return how long a kept connection for a call may have been idle.

    An upstream can drop an idle connection without notice, and the loss of a
    request that is not idempotent cannot be made good.
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
    """Return the request as the dialect sends it for this attempt.

    Framing headers are left out, since the transport writes its own. A kept
    connection may have been idle for ``idle_ms``.
    """
    kept = [
        pair for pair in end_to_end(request.headers) if pair[0] not in _REPLACED
    ]
    left_ms = max(1, int(step.deadline_ms - now_ms))
    headers = dialect.request_headers(kept, step, left_ms)
    return OutboundRequest(
        request.method,
        request.target,
        headers,
        body,
        request.body_complete,
        request.body_length,
        body_source,
        idle_ms,
    )
