"""Keeps the limits for all callers together, as the decisions choose."""

import ctypes
from collections import Counter
from typing import TYPE_CHECKING

from figdoor_decisions.caller_memory import (
    CallerAccount,
    CallerAction,
    CallerUse,
    Eviction,
    choose_connections,
    choose_evictions,
)
from figdoor_gateway.loop import call_later
from figdoor_kernel import CallerId, CallersEvicted, Extension, Node

if TYPE_CHECKING:
    from figdoor_gateway.frontend._connection import CallerConnection

# Connections that are closed together at the limit, so that a crowd that keeps
# connecting does not make the node compare all connections each time.
CONNECTIONS_AT_ONCE = 16
# After a search that found no unused connection. While a crowd connects, each
# search would delay the others by some milliseconds.
SEARCH_INTERVAL_MS = 100.0
# Memory is returned to the system once the callers hold so much less.
TRIM_BYTES = 4 * 1024 * 1024


class CallerLimiter:
    """Records what the connections hold, and carries out evictions."""

    def __init__(self, node: Node) -> None:
        """Start without connections."""
        self._node = node
        self._account: CallerAccount = node.part(
            Extension.SERVICE,
            'caller-account',
        )
        self._connections: dict[CallerId, CallerConnection] = {}
        self._last_id = 0
        self._evicted: Counter[str] = Counter()
        self._is_relief_planned = False
        self._peak_bytes = 0
        self._next_search_ms = float('-inf')

    def add(self, connection: 'CallerConnection') -> CallerId:
        """Add an open connection; return its id."""
        self._last_id += 1
        caller = CallerId(self._last_id)
        self._connections[caller] = connection
        self._account.record(caller, 0)
        return caller

    def remove(self, caller: CallerId) -> None:
        """Remove a closed connection."""
        if self._connections.pop(caller, None) is not None:
            self._account.remove(caller)

    def record(self, caller: CallerId, held_bytes: int) -> None:
        """Set what a connection holds; evict others above the limit.

        The connection itself may be in the middle of a callback, so it is
        evicted in the next iteration of the loop.
        """
        if caller not in self._connections:
            return
        self._account.record(caller, held_bytes)
        self._peak_bytes = max(self._peak_bytes, self._account.total_bytes)
        if self._account.excess_bytes:
            self._relieve(caller)

    def make_room(self) -> bool:
        """Return whether a connection may open, after closing unused ones."""
        now_ms = self._node.clock.now_ms()
        if self._account.is_full and now_ms >= self._next_search_ms:
            uses = [
                connection.holding.describe()
                for connection in self._connections.values()
            ]
            evictions = choose_connections(uses, CONNECTIONS_AT_ONCE)
            if not evictions:
                self._next_search_ms = now_ms + SEARCH_INTERVAL_MS
            for eviction in evictions:
                self._carry_out(eviction)
        return not self._account.is_full

    def check(self, now_ms: float) -> None:
        """Record all connections, report evictions and return memory."""
        self._record_all()
        if self._account.excess_bytes:
            self._relieve()
        if self._evicted:
            event = CallersEvicted(
                dict(self._evicted),
                self._account.total_bytes,
                self._account.connections,
                now_ms,
            )
            self._evicted.clear()
            self._node.events.notify(event, now_ms)
        total_bytes = self._account.total_bytes
        if self._peak_bytes - total_bytes > TRIM_BYTES:
            self._peak_bytes = total_bytes
            _trim_heap()

    def _record_all(self) -> list[CallerUse]:
        uses = []
        for caller, connection in self._connections.items():
            use = connection.holding.describe()
            uses.append(use)
            self._account.record(caller, use.held_bytes)
        return uses

    def _relieve(self, current: CallerId | None = None) -> None:
        uses = self._record_all()
        for eviction in choose_evictions(uses, self._account.excess_bytes):
            if eviction.caller != current:
                self._carry_out(eviction)
            elif not self._is_relief_planned:
                self._is_relief_planned = True
                call_later(0, self._relieve_later)

    def _relieve_later(self) -> None:
        self._is_relief_planned = False
        self._relieve()

    def _carry_out(self, eviction: Eviction) -> None:
        connection = self._connections.get(eviction.caller)
        if connection is None:
            return
        action = eviction.action
        self._evicted[action.value] += 1
        try:
            _end_requests(connection, action)
        except Exception as error:
            # The caller that is evicted need not be the one whose data is
            # processed, so the error must not end the latter.
            connection.front_end.report_error(error)
            connection.abort()
        if eviction.caller in self._connections:
            self._account.record(eviction.caller, connection.holding.held_bytes)


def _end_requests(connection: 'CallerConnection', action: CallerAction) -> None:
    if action is CallerAction.REFUSE:
        connection.refuse()
    elif action is CallerAction.DROP_QUEUED:
        connection.reader.drop_queued()
    else:
        connection.evict()


def _trim_heap() -> None:
    """Give free memory back to the system, where the C library can.

    It keeps free memory that lies between blocks in use. After a crowd of
    callers, such blocks are spread over all memory that the crowd took.
    """
    trim = getattr(ctypes.CDLL(None), 'malloc_trim', None)
    if trim is not None:
        trim(0)
