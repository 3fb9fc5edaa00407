"""The cold allowance of one upstream: granted permits and the ramp-up."""

from dataclasses import dataclass, field

from figdoor_decisions.warmth._bounds import Bounds
from figdoor_kernel import InstanceId, NodeId

# The node that holds a permit, and the token of that node's request.
PermitKey = tuple[NodeId, float]
# Successful answers per unit of the cold limit before the limit is doubled.
ANSWERS_PER_STEP = 4
MIN_LEVEL = -3
NO_INSTANCE = InstanceId('')


@dataclass(frozen=True, slots=True)
class GrantedPermit:
    """One request that may be in flight until ``until_ms``.

    ``instance`` is the instance that the holder has open connections to,
    empty where the request may reach any instance.
    """

    until_ms: float
    instance: InstanceId


@dataclass(slots=True)
class Ramp:
    """What the owner of an upstream keeps about its cold start.

    The limit is ``cold_limit`` doubled ``level`` times, or halved where the
    level is negative. ``since_ms`` is when this node became the owner; the
    ramp-up starts over when that changes. ``successes`` counts the answers
    since the last failure or change of the level.
    """

    since_ms: float
    instance: InstanceId = NO_INSTANCE
    level: int = 0
    successes: int = 0
    granted: dict[PermitKey, GrantedPermit] = field(default_factory=dict)

    def restart(self, instance: InstanceId = NO_INSTANCE) -> None:
        """Go back to the cold limit; requests in flight stay counted."""
        self.instance = instance
        self.level = 0
        self.successes = 0

    def limit(self, bounds: Bounds) -> int:
        """Return how many requests all nodes together may have in flight."""
        limit = int(bounds.cold_limit * 2**self.level)
        return max(1, min(limit, max(bounds.slots, bounds.cold_limit)))

    def release_expired(self, now_ms: float) -> None:
        """Release the permits that their holders did not return in time."""
        expired = [
            key
            for key, permit in self.granted.items()
            if permit.until_ms <= now_ms
        ]
        for key in expired:
            self.granted.pop(key)

    def can_grant(
        self,
        bounds: Bounds,
        instance: InstanceId,
        limit: int,
    ) -> bool:
        """Return whether one more request may be in flight.

        A holder without an open connection may reach an instance that has
        just replaced the known one. All such holders together therefore get
        no more than the cold limit.
        """
        if len(self.granted) >= limit:
            return False
        if instance:
            return True
        unconnected = sum(
            not permit.instance for permit in self.granted.values()
        )
        return unconnected < bounds.cold_limit

    def record_success(self, bounds: Bounds, instance: InstanceId) -> bool:
        """Count an answer; return whether the upstream can handle full load.

        Full load is the number of slots of the upstream.
        """
        if instance != self.instance:
            self.restart(instance)
        self.successes += 1
        if self.successes < bounds.cold_limit * ANSWERS_PER_STEP:
            return False
        self.successes = 0
        if self.limit(bounds) < bounds.slots:
            self.level += 1
        return self.limit(bounds) >= bounds.slots

    def record_failure(self) -> None:
        """Restart the count of consecutive successful answers."""
        self.successes = 0

    def record_shed(self) -> None:
        """Halve the limit, since the upstream has more than it can handle."""
        self.level = max(MIN_LEVEL, self.level - 1)
