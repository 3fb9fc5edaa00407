"""One request of a caller as it is read."""

from collections.abc import Callable
from dataclasses import dataclass, field

import xxhash

from figdoor_gateway.protocols import Dialect
from figdoor_kernel import Call, Fingerprint


@dataclass(slots=True)
class CallerRequest:
    """Method, target and headers, with the body as far as it has come.

    ``on_data`` and ``on_end`` are set once somebody wants the rest of a body
    that is too large to hold. ``keep_alive`` is what the caller allows.
    ``awaits_continue`` says that the body follows an interim answer only.
    """

    method: bytes = b''
    target: bytes = b''
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    http10: bool = False
    keep_alive: bool = True
    awaits_continue: bool = False
    body: bytearray = field(default_factory=bytearray)
    body_length: int | None = 0
    body_bytes: int = 0
    body_complete: bool = False
    on_data: Callable[[bytes], None] | None = None
    on_end: Callable[[], None] | None = None

    def header(self, name: bytes) -> bytes | None:
        """Return the first header of that name."""
        for known, text in self.headers:
            if known == name:
                return text
        return None

    def as_call(self, dialect: Dialect) -> Call:
        """Return the request as the decisions see it."""
        attributes = {
            name.decode('latin-1'): text.decode('latin-1')
            for name, text in self.headers
        }
        authority = _without_port(attributes.get('host', '').lower())
        return Call(
            self.method.decode('latin-1'),
            authority,
            self.target.decode('latin-1'),
            self._fingerprint(),
            dialect.time_left_ms(self.headers),
            self.body_complete,
            attributes,
            dialect.request_id(self.headers),
        )

    def _fingerprint(self) -> Fingerprint:
        digest = xxhash.xxh3_64(self.method)
        digest.update(b'\0%b\0' % self.target)
        digest.update(self.body)
        return Fingerprint(digest.intdigest())


def _without_port(authority: str) -> str:
    """Return the host; an IPv6 number keeps its brackets."""
    if authority.startswith('['):
        return ''.join(authority.partition(']')[:2])
    return authority.partition(':')[0]
