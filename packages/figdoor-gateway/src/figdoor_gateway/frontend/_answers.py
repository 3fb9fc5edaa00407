"""How outcomes and refusals are told to callers."""

from figdoor_gateway.headers import OUTCOME, REASON
from figdoor_gateway.protocols import OwnAnswer
from figdoor_kernel import Outcome


def render_own(
    answer: OwnAnswer,
    keep_alive: bool,
    bodiless: bool = False,
) -> bytes:
    """Return a whole answer that tells an outcome other than answered."""
    return render_answer(
        (answer.status, answer.reason),
        answer.headers,
        answer.text,
        keep_alive,
        bodiless,
    )


def render_error(
    status: int,
    phrase: bytes,
    outcome: Outcome = Outcome.NOT_RUN,
) -> bytes:
    """Return the answer to a malformed request; the connection closes.

    The outcome is unknown where a body turned out to be malformed after its
    first part had been sent.
    """
    headers = (
        (OUTCOME, outcome.value.encode()),
        (REASON, b'malformed-request'),
    )
    return render_answer((status, phrase), headers, b'%b\n' % phrase, False)


def render_answer(
    status: tuple[int, bytes],
    headers: tuple[tuple[bytes, bytes], ...],
    text: bytes,
    keep_alive: bool,
    bodiless: bool = False,
) -> bytes:
    """Return a whole answer with a text body.

    The answer to a ``HEAD`` request is bodiless but tells the length.
    """
    lines = [b'HTTP/1.1 %d %b' % status]
    lines.extend(b'%b: %b' % pair for pair in headers)
    lines.append(b'content-type: text/plain; charset=utf-8')
    lines.append(b'content-length: %d' % len(text))
    if not keep_alive:
        lines.append(b'connection: close')
    lines.append(b'\r\n')
    head = b'\r\n'.join(lines)
    return head if bodiless else b''.join((head, text))
