"""Which nodes need not be asked for tokens at the moment."""

from collections.abc import Iterator
from typing import TypeVar

from figdoor_kernel import NodeId, TenantName

# How long a node that did not answer is not asked again.
SILENCE_MS = 1000.0
# Range of the time for which a node without room is not asked again for the
# same tenant. It limits the messages while a tenant is far above its limit.
MIN_DENIAL_MS = 50.0
# The shortest such time for nodes of other zones. With 50 ms, a tenant at 7.5
# times its usual caused 700 bytes a second and node between zones.
MIN_REMOTE_DENIAL_MS = 250.0
MAX_DENIAL_MS = 1000.0


_Key = TypeVar('_Key')


class Rooms:
    """Remembers denials and missing answers for a short time."""

    def __init__(self) -> None:
        """Know of no node."""
        self._silent_until_ms: dict[NodeId, float] = {}
        self._denied_until_ms: dict[tuple[TenantName, NodeId], float] = {}
        self._room_at_ms: dict[TenantName, float] = {}

    def record_silence(self, target: NodeId, now_ms: float) -> None:
        """Remember that a node did not answer in time."""
        self._silent_until_ms[target] = now_ms + SILENCE_MS

    def record_denial(
        self,
        target: NodeId,
        tenant: TenantName,
        now_ms: float,
        room_in_ms: float,
        *,
        is_remote: bool,
    ) -> None:
        """Remember when a node without room expects to have some."""
        least_ms = MIN_REMOTE_DENIAL_MS if is_remote else MIN_DENIAL_MS
        wait_ms = min(max(room_in_ms, least_ms), MAX_DENIAL_MS)
        self._denied_until_ms[tenant, target] = now_ms + wait_ms
        known_ms = self._room_at_ms.get(tenant, 0)
        if known_ms <= now_ms or now_ms + wait_ms < known_ms:
            self._room_at_ms[tenant] = now_ms + wait_ms

    def may_ask(
        self, target: NodeId, tenant: TenantName, now_ms: float
    ) -> bool:
        """Return whether a node may have room for a call of a tenant."""
        if now_ms < self._silent_until_ms.get(target, 0):
            return False
        return now_ms >= self._denied_until_ms.get((tenant, target), 0)

    def first_responding(
        self, targets: tuple[NodeId, ...], now_ms: float
    ) -> Iterator[NodeId]:
        """Yield the first of the targets that is not known to be silent."""
        for target in targets:
            if now_ms >= self._silent_until_ms.get(target, 0):
                yield target
                return

    def room_in_ms(self, tenant: TenantName, now_ms: float) -> float:
        """Return when any node that was asked expects room, 0 if unknown."""
        return max(0, self._room_at_ms.get(tenant, 0) - now_ms)

    def expire(self, now_ms: float) -> None:
        """Forget what lies in the past."""
        _expire(self._silent_until_ms, now_ms)
        _expire(self._denied_until_ms, now_ms)
        _expire(self._room_at_ms, now_ms)


def _expire(times_ms: dict[_Key, float], now_ms: float) -> None:
    for key, time_ms in tuple(times_ms.items()):
        if time_ms <= now_ms:
            times_ms.pop(key)
