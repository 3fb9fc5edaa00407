"""A small HTTP client for the platform's read-only interface."""

from typing import Any

import treq
from treq.client import HTTPClient
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import deferLater
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool

from figdoor_gateway.loop import MS_PER_SECOND, reactor

MAX_ANSWER_BYTES = 4_000_000
_OK = 200


class PlatformClient:
    """Gets JSON values; everything that goes wrong raises an exception."""

    def __init__(self, base_url: str) -> None:
        """Keep connections, and resend nothing on our own."""
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        # Resending would escape the limit on reads of the service.
        self._pool.retryAutomatically = False
        self._http = HTTPClient(Agent(reactor, pool=self._pool))
        self._base_url = base_url

    async def get(
        self,
        path: str,
        timeout_ms: float,
        **query: str,
    ) -> Any:
        """Return the decoded value, or ``None`` where nothing is newer."""
        answer = Deferred.fromCoroutine(self._get(path, query))
        # A time-out must not look like the cancellation that ends a watch.
        answer.addTimeout(
            timeout_ms / MS_PER_SECOND,
            reactor,
            onTimeoutCancel=_time_out,
        )
        return await answer

    async def _get(self, path: str, query: dict[str, str]) -> Any:
        response = await self._http.get(
            f'{self._base_url}{path}',
            params=query,
        )
        if response.code != _OK:
            await treq.content(response)
            return None
        return await treq.json_content(response)


async def sleep_ms(delay_ms: float) -> None:
    """Wait without blocking the loop."""
    await deferLater(reactor, delay_ms / MS_PER_SECOND)


def ignore_cancellation(failure: Failure) -> None:
    """End a coroutine's Deferred quietly when it was cancelled."""
    failure.trap(CancelledError)


def raise_if_cancelled(error: Exception) -> None:
    """Raise ``CancelledError`` where treq has wrapped one."""
    reasons = getattr(error, 'reasons', ())
    if any(reason.check(CancelledError) for reason in reasons):
        raise CancelledError from error


def _time_out(_: object, timeout_s: float) -> None:
    raise TimeoutError(f'no answer within {timeout_s} s')
