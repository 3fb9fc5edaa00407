"""Request of a caller."""

from collections.abc import Callable
from dataclasses import dataclass, field

import xxhash

from figdoor_gateway.headers import AUTHORIZATION
from figdoor_gateway.protocols import Dialect
from figdoor_kernel import Call, Fingerprint, digest_of_key

# The object of a request with its empty head and body.
_REQUEST_OBJECT_BYTES = 400


@dataclass(slots=True)
class CallerRequest:
    """Method, target and headers, with the body received so far.

    ``on_data`` and ``on_end`` are set to stream the rest of a body that is too
    large to buffer. ``keep_alive`` says whether the caller keeps the
    connection open. ``awaits_continue`` says that the caller waits for an
    interim response before it sends the body. ``is_head_checked`` says that
    the head was checked for a refusal that needs no body. ``received_ms`` is
    the time at which the head was complete, ``head_bytes`` the memory of
    target and headers.
    """

    method: bytes = b''
    target: bytes = b''
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    http10: bool = False
    keep_alive: bool = True
    awaits_continue: bool = False
    head_bytes: int = 0
    body: bytearray = field(default_factory=bytearray)
    body_length: int | None = 0
    body_bytes: int = 0
    body_complete: bool = False
    is_head_checked: bool = False
    received_ms: float = 0
    on_data: Callable[[bytes], None] | None = None
    on_end: Callable[[], None] | None = None

    @property
    def held_bytes(self) -> int:
        """Memory of the head and of the body received so far."""
        return _REQUEST_OBJECT_BYTES + self.head_bytes + len(self.body)

    def take_body(self) -> bytes:
        """Return the body received so far, and release it."""
        body = bytes(self.body)
        self.body = bytearray()
        return body

    def header(self, name: bytes) -> bytes | None:
        """Return the value of the first header of that name."""
        for header_name, value in self.headers:
            if header_name == name:
                return value
        return None

    def as_call(self, dialect: Dialect) -> Call:
        """Return the call, which is what routing and selection work on.

        Keys are secrets, so the call has only the digest of the key.
        """
        attributes = {
            name.decode('latin-1'): value.decode('latin-1')
            for name, value in self.headers
            if name != AUTHORIZATION
        }
        key = dialect.key(self.headers)
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
            digest_of_key(key) if key is not None else None,
        )

    def _fingerprint(self) -> Fingerprint:
        digest = xxhash.xxh3_64(self.method)
        digest.update(b'\0%b\0' % self.target)
        digest.update(self.body)
        return Fingerprint(digest.intdigest())


def _without_port(authority: str) -> str:
    """Return the host; an IPv6 address keeps its brackets."""
    if authority.startswith('['):
        return ''.join(authority.partition(']')[:2])
    return authority.partition(':')[0]
