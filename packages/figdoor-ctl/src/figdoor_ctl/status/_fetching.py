"""Reads the status of several nodes concurrently from their operator ports."""

from collections.abc import Callable, Sequence
from typing import Any

import treq
from returns.result import Failure, Result
from twisted.internet import reactor as installed_reactor
from twisted.internet.defer import Deferred, gatherResults
from twisted.web.client import ResponseNeverReceived

from figdoor_ctl.status._reading import NodeReport, NodeStatus, parse_report

TIMEOUT_S = 3
_OK = 200

# Twisted installs the reactor at run time, so its type is not known here.
_reactor: Any = installed_reactor

Fetch = Callable[[Sequence[str]], list[NodeStatus]]


def fetch_all(addresses: Sequence[str]) -> list[NodeStatus]:
    """Return the status of each address, in the given order.

    Runs the reactor until every request has ended or timed out. A reactor
    cannot be restarted, so a process can call this once.
    """
    run = _FetchRun(addresses)
    _reactor.callWhenRunning(run.start)
    _reactor.run()
    return run.statuses


class _FetchRun:
    """Fetches the status of all addresses, then stops the reactor."""

    def __init__(self, addresses: Sequence[str]) -> None:
        self._addresses = addresses
        self.statuses: list[NodeStatus] = []

    def start(self) -> None:
        requests = [
            Deferred.fromCoroutine(_fetch(address))
            for address in self._addresses
        ]
        gatherResults(requests).addCallback(self._finish)

    def _finish(self, statuses: list[NodeStatus]) -> None:
        self.statuses = statuses
        _reactor.stop()


async def _fetch(address: str) -> NodeStatus:
    try:
        return NodeStatus(address, await _request_report(address))
    except Exception as error:
        return NodeStatus(address, Failure(_describe_error(error)))


async def _request_report(address: str) -> Result[NodeReport, str]:
    response = await treq.get(
        f'http://{address}/in-force',
        timeout=TIMEOUT_S,
    )
    text = await treq.content(response)
    if response.code != _OK:
        return Failure(f'responded with status {response.code}')
    return parse_report(text)


def _describe_error(error: Exception) -> str:
    if isinstance(error, ResponseNeverReceived):
        return 'connection closed before a complete response'
    return str(error) or type(error).__name__
