"""An HTTP client for the read-only interface of the platform."""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any

from twisted.internet.defer import Deferred

from figdoor_gateway import agents, bodies
from figdoor_gateway.loop import MS_PER_SECOND, reactor
from figdoor_kernel import FigdoorError

MAX_RESPONSE_BYTES = 4_000_000
CONNECT_TIMEOUT_MS = 1000
# A body that takes longer than the timeout of a request must not pause longer.
STALL_TIMEOUT_MS = 1000.0
_OK = 200
_NOT_CHANGED = frozenset((204, 304))
_METHOD_NOT_SUPPORTED = frozenset((405, 501))

# The values of each header of a response, by its name in lower case.
Headers = Mapping[str, list[str]]
NO_HEADERS: Headers = MappingProxyType({})


class PlatformError(FigdoorError):
    """The platform's response contains no value.

    ``status`` is the status of the response to a ``GET``. It is 0 for a
    ``HEAD``, and if the body caused the error. ``headers`` are those of a
    response that ``JsonClient`` has read completely.
    """

    def __init__(
        self,
        message: str,
        status: int = 0,
        headers: Headers = NO_HEADERS,
    ) -> None:
        """Store what is known of the response."""
        super().__init__(message)
        self.status = status
        self.headers = headers


class MethodNotSupportedError(PlatformError):
    """The platform does not support the HTTP method."""


class ResponseTooLongError(PlatformError):
    """The response is longer than the caller accepts."""


@dataclass(frozen=True, slots=True)
class ResponseLimits:
    """The longest response, and the time that its body may take.

    With ``transfer_ms`` above 0 the timeout of a request ends with the head
    of the response and limits each pause in its body, which may take
    ``transfer_ms`` in all. A link of 5 Mbit/s carries a megabyte in 1.7 s, so
    that a timeout of the whole response that fits a small one would end each
    attempt to read a large one.

    ``PlatformClient.get(path, 1000, ResponseLimits(64_000, 8000))`` fails
    with ``ResponseTooLongError`` for a body of 64,001 bytes.
    """

    max_bytes: int = MAX_RESPONSE_BYTES
    transfer_ms: float = 0


_DEFAULT_LIMITS = ResponseLimits()


class PlatformClient:
    """Reads JSON values; every error ends the ``Deferred`` with a failure."""

    def __init__(self, base_url: str) -> None:
        """Create a client with persistent connections and no ETags."""
        self._http = agents.make_client(CONNECT_TIMEOUT_MS, persistent=True)
        self._base_url = base_url
        self.etags: dict[str, str] = {}

    def get(
        self,
        path: str,
        timeout_ms: float,
        limits: ResponseLimits = _DEFAULT_LIMITS,
        **query: str,
    ) -> Deferred[Any]:
        """Return the decoded value, or ``None`` if it has not changed.

        If the platform sends an ``ETag``, an unchanged value is not
        transferred again.

        The timeout covers the complete response, unless the limits give its
        body a time of its own. treq's own timeout covers only the head, so
        that a response that stalls in its body would never end.
        """
        reading = Deferred.fromCoroutine(
            self._get(path, query, timeout_ms, limits)
        )
        total_ms = timeout_ms + limits.transfer_ms
        return reading.addTimeout(total_ms / MS_PER_SECOND, reactor)

    def get_etag(
        self,
        path: str,
        timeout_ms: float,
    ) -> Deferred[str | None]:
        """Return the new ``ETag`` of a value, ``None`` if it has not changed.

        The value itself is not transferred. The result is empty if the
        platform sends no ``ETag``.
        """
        reading = Deferred.fromCoroutine(self._get_etag(path))
        return reading.addTimeout(timeout_ms / MS_PER_SECOND, reactor)

    async def _get_etag(self, path: str) -> str | None:
        response = await self._http.head(
            f'{self._base_url}{path}',
            headers=self._request_headers(path),
        )
        if response.code in _NOT_CHANGED:
            return None
        if response.code in _METHOD_NOT_SUPPORTED:
            raise MethodNotSupportedError(
                f'HEAD {path} returned status {response.code}',
            )
        if response.code != _OK:
            raise PlatformError(f'HEAD {path} returned status {response.code}')
        etags: Any = response.headers.getRawHeaders('etag', ('',))
        return str(etags[0])

    def _request_headers(self, path: str) -> dict[str, str]:
        etag = self.etags.get(path)
        return {'if-none-match': etag} if etag else {}

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        timeout_ms: float,
        limits: ResponseLimits,
    ) -> Any:
        head = self._http.get(
            f'{self._base_url}{path}',
            params=query,
            headers=self._request_headers(path),
            unbuffered=True,
        )
        stall_ms = STALL_TIMEOUT_MS if limits.transfer_ms else 0
        if limits.transfer_ms:
            head.addTimeout(timeout_ms / MS_PER_SECOND, reactor)
        response = await head
        try:
            text = await bodies.read_body(response, limits.max_bytes, stall_ms)
        except bodies.BodyTooLongError as error:
            raise ResponseTooLongError(f'GET {path}: {error}') from error
        except bodies.BodyStalledError as error:
            raise PlatformError(f'GET {path}: {error}') from error
        if response.code in _NOT_CHANGED:
            return None
        if response.code != _OK:
            message = f'GET {path} returned status {response.code}'
            raise PlatformError(message, response.code)
        decoded = json.loads(text)
        self._store_etag(path, response)
        return decoded

    def _store_etag(self, path: str, response: Any) -> None:
        etags = response.headers.getRawHeaders('etag', ())
        self.etags.pop(path, None)
        if etags:
            self.etags[path] = etags[0]
