"""Makes the request that goes to an upstream."""

from figdoor_gateway.frontend._request import CallerRequest
from figdoor_gateway.headers import (
    ATTEMPT,
    DEADLINE,
    OWN_PREFIX,
    end_to_end,
)
from figdoor_gateway.protocols import BodySource, OutboundRequest
from figdoor_kernel import Send

_REPLACED = frozenset((b'content-length', b'expect'))


def make_outbound(
    request: CallerRequest,
    body: bytes,
    step: Send,
    now_ms: float,
    body_source: BodySource | None = None,
) -> OutboundRequest:
    """Return the request with deadline and attempt number.

    Framing headers are left out, since the transport writes its own. So are
    marks of figdoor that the caller sent, since an upstream trusts them.
    """
    headers = [
        pair
        for pair in end_to_end(request.headers)
        if pair[0] not in _REPLACED and not pair[0].startswith(OWN_PREFIX)
    ]
    left_ms = max(1, int(step.deadline_ms - now_ms))
    headers.append((DEADLINE, b'%d' % left_ms))
    headers.append((ATTEMPT, b'%d' % step.attempt_number))
    return OutboundRequest(
        request.method,
        request.target,
        headers,
        body,
        request.body_complete,
        request.body_length,
        body_source,
    )
