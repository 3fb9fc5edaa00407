"""figdoor's own headers and statuses for callers and upstreams."""

from collections.abc import Mapping
from math import ceil

from figdoor_gateway.headers._headers import (
    ATTEMPT,
    AUTHORIZATION,
    DEADLINE,
    INNER_OUTCOME,
    LOAD,
    OUTCOME,
    OWN_PREFIX,
    REASON,
    SHED,
    TENANT,
    read_bearer_key,
    read_load_report,
    read_time_left_ms,
)
from figdoor_gateway.protocols import (
    Dialect,
    Headers,
    LocalResponse,
    OutboundRequest,
    ResponseInfo,
    ResponseKind,
)
from figdoor_kernel import (
    Finish,
    KeyState,
    LoadReport,
    Outcome,
    Refusal,
    Send,
    Upstream,
)

MS_PER_SECOND = 1000
PROBE_PATH = '/load'
_OK = 200
_SHED_STATUS = 503
_REFUSAL_STATUSES = {
    Refusal.NO_ROUTE: (404, b'Not Found'),
    Refusal.UNKNOWN_KEY: (401, b'Unauthorized'),
    Refusal.TENANT_SHARE: (429, b'Too Many Requests'),
    Refusal.ALLOWANCE: (429, b'Too Many Requests'),
    Refusal.QUARANTINED: (508, b'Loop Detected'),
}
_SERVICE_UNAVAILABLE = (503, b'Service Unavailable')
_BAD_GATEWAY = (502, b'Bad Gateway')
_GATEWAY_TIMEOUT = (504, b'Gateway Timeout')
_ANSWERED = Outcome.ANSWERED.value.encode()


class FigdoorDialect(Dialect):
    """Uses headers that begin with ``figdoor-``, as in the upstream contract."""

    # A body delimited by the close cannot be told from a truncated one.
    allows_close_delimited_body = False

    def request_id(self, headers: Headers) -> str:
        """Return an empty id, since this dialect has no request ids."""
        return ''

    def time_left_ms(self, headers: Headers) -> float | None:
        """Read the time left from the first deadline header."""
        return read_time_left_ms(headers, DEADLINE)

    def key(self, headers: Headers) -> bytes | None:
        """Return the bearer token."""
        return read_bearer_key(headers)

    def request_headers(
        self,
        headers: Headers,
        step: Send,
        left_ms: int,
    ) -> list[tuple[bytes, bytes]]:
        """Replace the caller's figdoor headers, since upstreams trust them."""
        kept = [
            header for header in headers if not header[0].startswith(OWN_PREFIX)
        ]
        kept.append((DEADLINE, b'%d' % left_ms))
        kept.append((ATTEMPT, b'%d' % step.attempt_number))
        if step.key_state is KeyState.UNUSED:
            return kept
        if step.tenant:
            kept.append((TENANT, step.tenant.encode('latin-1')))
        return [header for header in kept if header[0] != AUTHORIZATION]

    def classify_response(
        self,
        status: int,
        headers: Mapping[bytes, bytes],
        request: Headers,
    ) -> ResponseInfo:
        """Read the shed header and the load report."""
        report = headers.get(LOAD)
        has_inner_outcome = OUTCOME in headers or INNER_OUTCOME in headers
        # If the response comes through another gateway, the shed header may
        # have been meant for that gateway. It then doesn't prove that the
        # upstream has not run the request.
        is_shed = status == _SHED_STATUS and headers.get(SHED) == b'1'
        return ResponseInfo(
            ResponseKind.SHED
            if is_shed and not has_inner_outcome
            else ResponseKind.VALID,
            read_load_report(report) if report else None,
            has_inner_outcome,
        )

    def response_headers(self, headers: Headers) -> list[tuple[bytes, bytes]]:
        """Add the outcome, and rename that of a gateway behind the upstream.

        Other figdoor headers are for this node and are not forwarded.
        """
        forwarded = []
        for name, value in headers:
            if not name.startswith(OWN_PREFIX):
                forwarded.append((name, value))
            elif name in {OUTCOME, INNER_OUTCOME}:
                forwarded.append((INNER_OUTCOME, value))
        forwarded.append((OUTCOME, _ANSWERED))
        return forwarded

    def local_response(
        self,
        finish: Finish,
        deadline_passed: bool,
        request: Headers,
    ) -> LocalResponse:
        """State outcome and reason in headers and in a line of text."""
        refusal = finish.refusal
        if finish.outcome is Outcome.NOT_RUN:
            status_line = _REFUSAL_STATUSES.get(refusal) if refusal else None
            status, phrase = status_line or _SERVICE_UNAVAILABLE
        else:
            status, phrase = (
                _GATEWAY_TIMEOUT if deadline_passed else _BAD_GATEWAY
            )
        reason = refusal.value if refusal else 'upstream'
        outcome = finish.outcome.value
        headers = [(OUTCOME, outcome.encode()), (REASON, reason.encode())]
        if refusal is Refusal.ALLOWANCE and finish.retry_after_ms is not None:
            # Whole seconds (RFC 9110, section 10.2.3).
            after_s = ceil(finish.retry_after_ms / MS_PER_SECOND)
            headers.append((b'retry-after', b'%d' % after_s))
        return LocalResponse(
            status,
            phrase,
            tuple(headers),
            f'{outcome}: {reason}\n'.encode(),
        )

    def probe(self, path: str) -> OutboundRequest:
        """Return a request for the pool's health path, or for ``/load``."""
        target = (path or PROBE_PATH).encode()
        headers = ((b'host', b'figdoor'),)
        return OutboundRequest(b'GET', target, headers, b'', True, 0)

    def probe_report(
        self,
        upstream: Upstream,
        status: int,
        headers: Headers,
    ) -> LoadReport | None:
        """Read the load report from the header that responses carry too."""
        value = dict(headers).get(LOAD)
        if status != _OK or value is None:
            return None
        return read_load_report(value)

    def is_from(self, upstream: Upstream, headers: Headers) -> bool:
        """Return ``True``: an address belongs to one upstream here."""
        return True
