"""figdoor's own agreement with callers and upstreams."""

from collections.abc import Mapping

from figdoor_gateway.headers._headers import (
    ATTEMPT,
    DEADLINE,
    INNER_OUTCOME,
    LOAD,
    OUTCOME,
    OWN_PREFIX,
    REASON,
    SHED,
    read_load_report,
    read_time_left_ms,
)
from figdoor_gateway.protocols import (
    AnswerFacts,
    AnswerKind,
    Dialect,
    Headers,
    OutboundRequest,
    OwnAnswer,
)
from figdoor_kernel import (
    Finish,
    LoadReport,
    Outcome,
    Refusal,
    Send,
    Upstream,
)

PROBE_PATH = '/load'
_OK = 200
_SHED_STATUS = 503
_STATUSES = {
    Refusal.NO_ROUTE: (404, b'Not Found'),
    Refusal.TENANT_SHARE: (429, b'Too Many Requests'),
    Refusal.QUARANTINED: (508, b'Loop Detected'),
}
_NOT_RUN = (503, b'Service Unavailable')
_LOST = (502, b'Bad Gateway')
_LATE = (504, b'Gateway Timeout')
_ANSWERED = Outcome.ANSWERED.value.encode()


class FigdoorDialect(Dialect):
    """Headers that begin with ``figdoor-``, as in the upstream contract."""

    # The end of a body without a length cannot be told from a cut.
    closing_ends_body = False

    def request_id(self, headers: Headers) -> str:
        """Callers name no requests."""
        return ''

    def time_left_ms(self, headers: Headers) -> float | None:
        """Read the first deadline header."""
        return read_time_left_ms(headers, DEADLINE)

    def request_headers(
        self,
        headers: Headers,
        step: Send,
        left_ms: int,
    ) -> list[tuple[bytes, bytes]]:
        """Leave out marks that the caller sent, since upstreams trust them."""
        kept = [pair for pair in headers if not pair[0].startswith(OWN_PREFIX)]
        kept.append((DEADLINE, b'%d' % left_ms))
        kept.append((ATTEMPT, b'%d' % step.attempt_number))
        return kept

    def answer_facts(
        self,
        status: int,
        headers: Mapping[bytes, bytes],
        request: Headers,
    ) -> AnswerFacts:
        """Read the shed mark and the load report."""
        report = headers.get(LOAD)
        inner = OUTCOME in headers or INNER_OUTCOME in headers
        # A deeper level's answer may carry on a mark that was not meant for
        # this level, and then proves nothing.
        shed = status == _SHED_STATUS and headers.get(SHED) == b'1'
        return AnswerFacts(
            AnswerKind.SHED if shed and not inner else AnswerKind.ANSWER,
            read_load_report(report) if report else None,
            inner,
        )

    def answer_headers(self, headers: Headers) -> list[tuple[bytes, bytes]]:
        """Add the outcome, with a deeper level's outcome renamed.

        Other marks of figdoor are meant for this node, not for the caller.
        """
        passed_on = []
        for name, text in headers:
            if not name.startswith(OWN_PREFIX):
                passed_on.append((name, text))
            elif name in {OUTCOME, INNER_OUTCOME}:
                passed_on.append((INNER_OUTCOME, text))
        passed_on.append((OUTCOME, _ANSWERED))
        return passed_on

    def own_answer(
        self,
        finish: Finish,
        late: bool,
        request: Headers,
    ) -> OwnAnswer:
        """Tell outcome and reason in headers and in a line of text."""
        refusal = finish.refusal
        if finish.outcome is Outcome.NOT_RUN:
            known = _STATUSES.get(refusal) if refusal else None
            status, phrase = known or _NOT_RUN
        else:
            status, phrase = _LATE if late else _LOST
        reason = refusal.value if refusal else 'upstream'
        outcome = finish.outcome.value
        return OwnAnswer(
            status,
            phrase,
            ((OUTCOME, outcome.encode()), (REASON, reason.encode())),
            f'{outcome}: {reason}\n'.encode(),
        )

    def probe(self, path: str) -> OutboundRequest:
        """Ask for the load page, wherever the pool has none of its own."""
        target = (path or PROBE_PATH).encode()
        headers = ((b'host', b'figdoor'),)
        return OutboundRequest(b'GET', target, headers, b'', True, 0)

    def probe_report(
        self,
        upstream: Upstream,
        status: int,
        headers: Headers,
    ) -> LoadReport | None:
        """Read the same report that answers carry."""
        text = dict(headers).get(LOAD)
        if status != _OK or text is None:
            return None
        return read_load_report(text)
