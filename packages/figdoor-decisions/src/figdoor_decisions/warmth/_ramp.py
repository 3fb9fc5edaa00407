"""The cold allowance of one upstream: grants in use and ramp-up."""

from dataclasses import dataclass, field

from figdoor_decisions.warmth._bounds import Bounds
from figdoor_kernel import InstanceId, NodeId

# A grant is known by its holder and the holder's token.
GrantKey = tuple[NodeId, float]
ANSWERS_PER_STEP = 4
LOWEST_LEVEL = -3
NO_INSTANCE = InstanceId('')


@dataclass(frozen=True, slots=True)
class Grant:
    """One request that may be in flight until ``until_ms``.

    ``instance`` is the instance that the holder has open connections to,
    empty where the request may reach any instance.
    """

    until_ms: float
    instance: InstanceId


@dataclass(slots=True)
class Ramp:
    """What the home node keeps per upstream.

    The limit is ``cold_limit`` doubled ``level`` times. ``since_ms`` is the
    time since which this node has been the home; a change starts over.
    """

    since_ms: float
    instance: InstanceId = NO_INSTANCE
    level: int = 0
    streak: int = 0
    grants: dict[GrantKey, Grant] = field(default_factory=dict)

    def restart(self, instance: InstanceId = NO_INSTANCE) -> None:
        """Go back to the cold limit; requests in flight stay counted."""
        self.instance = instance
        self.level = 0
        self.streak = 0

    def limit(self, bounds: Bounds) -> int:
        """Return how many requests the whole fleet may have in flight."""
        limit = int(bounds.cold_limit * 2**self.level)
        return max(1, min(limit, max(bounds.slots, bounds.cold_limit)))

    def sweep(self, now_ms: float) -> None:
        """Free what was granted to holders that never returned it."""
        over = [
            key
            for key, grant in self.grants.items()
            if grant.until_ms <= now_ms
        ]
        for key in over:
            self.grants.pop(key)

    def has_room(
        self,
        bounds: Bounds,
        instance: InstanceId,
        limit: int,
    ) -> bool:
        """Return whether one more request may be in flight.

        A holder without an open connection may reach an instance that has
        just replaced the known one, so only the cold limit is granted to
        such holders at any time.
        """
        if len(self.grants) >= limit:
            return False
        if instance:
            return True
        unbound = sum(not grant.instance for grant in self.grants.values())
        return unbound < bounds.cold_limit

    def succeed(self, bounds: Bounds, instance: InstanceId) -> bool:
        """Count an answer; return whether the upstream bears full load."""
        if instance != self.instance:
            self.restart(instance)
        self.streak += 1
        if self.streak < bounds.cold_limit * ANSWERS_PER_STEP:
            return False
        self.streak = 0
        if self.limit(bounds) < bounds.slots:
            self.level += 1
        return self.limit(bounds) >= bounds.slots

    def fail(self) -> None:
        """Start the count of answers in a row again."""
        self.streak = 0

    def shed(self) -> None:
        """Halve the limit, since the upstream has more than it can bear."""
        self.level = max(LOWEST_LEVEL, self.level - 1)
