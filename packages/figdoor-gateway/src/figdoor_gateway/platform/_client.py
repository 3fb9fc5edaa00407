"""A small HTTP client for the platform's read-only interface."""

import json
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone

from figdoor_gateway.agents import make_client
from figdoor_gateway.loop import MS_PER_SECOND, reactor
from figdoor_kernel import FigdoorError

MAX_ANSWER_BYTES = 4_000_000
CONNECT_TIMEOUT_MS = 1000
_OK = 200
_NOTHING_NEWER = frozenset((204, 304))
_NO_SUCH_METHOD = frozenset((405, 501))


class PlatformError(FigdoorError):
    """The platform answered, but not with a value.

    ``status`` is that of the answer, 0 where its body was at fault.
    """

    def __init__(self, message: str, status: int = 0) -> None:
        """Keep the status."""
        super().__init__(message)
        self.status = status


class MethodRefusedError(PlatformError):
    """The platform does not take this method."""


class PlatformClient:
    """Gets JSON values; everything that goes wrong is a failure."""

    def __init__(self, base_url: str) -> None:
        """Keep connections."""
        self._http = make_client(CONNECT_TIMEOUT_MS, persistent=True)
        self._base_url = base_url
        self.etags: dict[str, str] = {}

    def get(
        self,
        path: str,
        timeout_ms: float,
        **query: str,
    ) -> Deferred[Any]:
        """Return the decoded value, or ``None`` where nothing is newer.

        Where the platform marks its answers with an ``ETag``, an unchanged
        value is not transferred again.

        The time limit covers the whole answer. treq's own would end with
        the head, and an answer that stalls after it would hang for ever.
        """
        found = Deferred.fromCoroutine(self._get(path, query))
        return found.addTimeout(timeout_ms / MS_PER_SECOND, reactor)

    def check(self, path: str, timeout_ms: float) -> Deferred[str | None]:
        """Return the ``ETag`` of the value, ``None`` for the known one.

        The value itself is not transferred. The text is empty where the
        platform does not mark the value.
        """
        found = Deferred.fromCoroutine(self._check(path))
        return found.addTimeout(timeout_ms / MS_PER_SECOND, reactor)

    async def _check(self, path: str) -> str | None:
        response = await self._http.head(
            f'{self._base_url}{path}',
            headers=self._condition(path),
        )
        if response.code in _NOTHING_NEWER:
            return None
        if response.code in _NO_SUCH_METHOD:
            raise MethodRefusedError(f'{path} answered {response.code}')
        if response.code != _OK:
            raise PlatformError(f'{path} answered {response.code}')
        etags: Any = response.headers.getRawHeaders('etag', ('',))
        return str(etags[0])

    def _condition(self, path: str) -> dict[str, str]:
        etag = self.etags.get(path)
        return {'if-none-match': etag} if etag else {}

    async def _get(self, path: str, query: dict[str, str]) -> Any:
        response = await self._http.get(
            f'{self._base_url}{path}',
            params=query,
            headers=self._condition(path),
            unbuffered=True,
        )
        body = _Body()
        response.deliverBody(body)
        text = await body.whole
        if response.code in _NOTHING_NEWER:
            return None
        if response.code != _OK:
            message = f'{path} answered {response.code}'
            raise PlatformError(message, response.code)
        found = json.loads(text)
        self._remember_etag(path, response)
        return found

    def _remember_etag(self, path: str, response: Any) -> None:
        etags = response.headers.getRawHeaders('etag', ())
        self.etags.pop(path, None)
        if etags:
            self.etags[path] = etags[0]


class _Body(Protocol):
    """Collects an answer's body of bounded length."""

    def __init__(self) -> None:
        self.whole: Deferred[bytes] = Deferred(self._abandon)
        self._parts = bytearray()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take a part of the body."""
        self._parts += data
        if len(self._parts) > MAX_ANSWER_BYTES and not self.whole.called:
            self.whole.errback(PlatformError('answer is too long'))
            self._abandon(self.whole)

    def connectionLost(  # noqa: N802
        self,
        reason: Failure = connectionDone,
    ) -> None:
        """Take the end of the body, or of its connection."""
        if self.whole.called:
            return
        if reason.check(ResponseDone):
            self.whole.callback(bytes(self._parts))
        else:
            self.whole.errback(reason)

    def _abandon(self, _: object) -> None:
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()
