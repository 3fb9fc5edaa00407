"""Headers of the agreement with upstreams and callers."""

from collections.abc import Iterable
from functools import lru_cache

from figdoor_kernel import InstanceId, LoadReport

OWN_PREFIX = b'figdoor-'
OUTCOME = b'figdoor-outcome'
INNER_OUTCOME = b'figdoor-inner-outcome'
REASON = b'figdoor-reason'
DEADLINE = b'figdoor-deadline-ms'
ATTEMPT = b'figdoor-attempt'
LOAD = b'figdoor-load'
SHED = b'figdoor-shed'

# Twenty upstreams with a dozen counts each. A miss costs 3 us; a text has at
# most 32 KB (``max_header_bytes``), so this bounds the memory to 8 MB.
KNOWN_REPORTS = 256

_HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    ),
)

# Naming one of these in ``Connection`` must not remove it: the message would
# lose its framing, its target or its protection against running twice.
_NEVER_REMOVED = frozenset(
    (b'content-length', b'host', b'idempotency-key'),
)

Pairs = list[tuple[bytes, bytes]]


def end_to_end(headers: Iterable[tuple[bytes, bytes]]) -> Pairs:
    """Return the headers without those that concern one connection only.

    Names must be in lower case. Headers that ``Connection`` names are
    removed too (RFC 9110, section 7.6.1), but for a few that no message can
    do without.
    """
    kept = []
    named: set[bytes] = set()
    for name, text in headers:
        if name == b'connection':
            named.update(word.strip().lower() for word in text.split(b','))
        elif name not in _HOP_BY_HOP:
            kept.append((name, text))
    named -= _NEVER_REMOVED
    if named:
        return [pair for pair in kept if pair[0] not in named]
    return kept


def read_time_left_ms(
    headers: Iterable[tuple[bytes, bytes]],
    name: bytes,
) -> float | None:
    """Return the first header of that name as milliseconds.

    A text that is no whole number counts as none.
    """
    for known, text in headers:
        if known == name:
            return float(text) if text.isdigit() else None
    return None


@lru_cache(maxsize=KNOWN_REPORTS)
def read_load_report(text: bytes) -> LoadReport | None:
    """Read ``running=3, instance=ab12, draining=0``.

    Returns ``None`` where the text is malformed, since a report only advises.
    An instance repeats a few texts, one for each count of running requests.
    """
    fields: dict[str, str] = {}
    for part in text.decode('latin-1').split(','):
        name, _, field = part.partition('=')
        fields[name.strip()] = field.strip()
    running = fields.get('running', '')
    instance = fields.get('instance', '')
    if not instance or not running.isdecimal():
        return None
    return LoadReport(
        InstanceId(instance),
        int(running),
        fields.get('draining') == '1',
    )
