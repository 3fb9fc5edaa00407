"""Asks the operator ports of several nodes at once."""

from collections.abc import Callable, Sequence
from typing import Any

import treq
from returns.result import Failure, Result
from twisted.internet import reactor as installed_reactor
from twisted.internet.defer import Deferred, gatherResults
from twisted.web.client import ResponseNeverReceived

from figdoor_ctl.status._reading import Facts, NodeStatus, read_facts

TIMEOUT_S = 3
_OK = 200

# Twisted installs the reactor at run time, so its type is not known here.
_reactor: Any = installed_reactor

Fetch = Callable[[Sequence[str]], list[NodeStatus]]


def fetch_all(addresses: Sequence[str]) -> list[NodeStatus]:
    """Return what each address answers, in their order.

    Runs the event loop until all have answered or timed out; a process can
    do this once.
    """
    run = _Run(addresses)
    _reactor.callWhenRunning(run.begin)
    _reactor.run()
    return run.answers


class _Run:
    """Asks all addresses and stops the event loop."""

    def __init__(self, addresses: Sequence[str]) -> None:
        self._addresses = addresses
        self.answers: list[NodeStatus] = []

    def begin(self) -> None:
        asked = [
            Deferred.fromCoroutine(_fetch(address))
            for address in self._addresses
        ]
        gatherResults(asked).addCallback(self._finish)

    def _finish(self, answers: list[NodeStatus]) -> None:
        self.answers = answers
        _reactor.stop()


async def _fetch(address: str) -> NodeStatus:
    try:
        return NodeStatus(address, await _ask(address))
    except Exception as error:
        return NodeStatus(address, Failure(_reason(error)))


async def _ask(address: str) -> Result[Facts, str]:
    response = await treq.get(
        f'http://{address}/in-force',
        timeout=TIMEOUT_S,
    )
    text = await treq.content(response)
    if response.code != _OK:
        return Failure(f'answered with status {response.code}')
    return read_facts(text)


def _reason(error: Exception) -> str:
    if isinstance(error, ResponseNeverReceived):
        return 'no whole answer'
    return str(error) or type(error).__name__
