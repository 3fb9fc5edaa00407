"""Rendering of the responses that the node generates itself."""

from figdoor_gateway.headers import OUTCOME, REASON
from figdoor_gateway.protocols import Dialect, Headers, LocalResponse
from figdoor_kernel import Finish, Outcome, Refusal

# Time after which a caller that was refused for its memory may try again.
REFUSED_RETRY_AFTER_MS = 250.0


def render_local_response(
    response: LocalResponse,
    keep_alive: bool,
    bodiless: bool = False,
) -> bytes:
    """Return a complete response for an outcome other than answered."""
    return render_response(
        (response.status, response.reason),
        response.headers,
        response.text,
        keep_alive,
        bodiless,
    )


def render_refusal(dialect: Dialect, headers: Headers) -> bytes:
    """Return the response to a request that takes too much memory.

    ``headers`` are those of the request, as far as they are known.
    """
    refused = Finish(
        Outcome.NOT_RUN,
        Refusal.CALLER_MEMORY,
        REFUSED_RETRY_AFTER_MS,
    )
    response = dialect.local_response(refused, False, headers)
    return render_local_response(response, keep_alive=False)


def render_error(
    status: int,
    phrase: bytes,
    outcome: Outcome = Outcome.NOT_RUN,
) -> bytes:
    """Return the response to a malformed request; the connection closes.

    The outcome is unknown if the body proved malformed after its first part
    had been sent to an upstream.
    """
    headers = (
        (OUTCOME, outcome.value.encode()),
        (REASON, b'malformed-request'),
    )
    return render_response((status, phrase), headers, b'%b\n' % phrase, False)


def render_response(
    status: tuple[int, bytes],
    headers: tuple[tuple[bytes, bytes], ...],
    text: bytes,
    keep_alive: bool,
    bodiless: bool = False,
) -> bytes:
    """Return a complete response with a text body.

    The response to a ``HEAD`` request has no body but states its length.
    """
    lines = [b'HTTP/1.1 %d %b' % status]
    lines.extend(b'%b: %b' % header for header in headers)
    lines.append(b'content-type: text/plain; charset=utf-8')
    lines.append(b'content-length: %d' % len(text))
    if not keep_alive:
        lines.append(b'connection: close')
    lines.append(b'\r\n')
    head = b'\r\n'.join(lines)
    return head if bodiless else b''.join((head, text))
