"""The rate at which the whole fleet may send the calls of a tenant."""

from dataclasses import dataclass

from figdoor_kernel import Options, Tenant

MS_PER_SECOND = 1000.0
# How long a granted call may wait until it is sent. Calls wait for a load probe
# or for an upstream with room, mostly for less than 400 ms.
GRANT_MS = 500.0
# A part of the bound stays unused for second attempts, which are counted only
# after they were sent.
USABLE_SHARE = 0.95
# Above ``fleet_nodes`` members, shares are divided by 1.25 times their number,
# so that the nodes that run hold four fifths of a rate. This factor makes up
# for it where the bound has room.
RATE_MARGIN = 1.25
# The largest part of the bound that is used by the rate. The rest is kept for
# bursts: without it no node could send two calls in a row.
MAX_RATE_SHARE = 0.9
# The part of what is kept that a node gets at its start. The rest accrues, so
# that a node that restarts does not use its share of it twice.
START_SHARE = 0.25


# Few shares together keep up to two tokens, at the cost of their rate: what
# they keep by the usual division is less than one, so that no call would pass.
FEW_KEPT = 2.0
FEW_KEPT_SHARE = 0.4


@dataclass(frozen=True, slots=True)
class AllowanceLimit:
    """The tokens of one tenant over the whole fleet; a call needs one.

    ``usable`` is the most that the fleet may use in one window, which is
    counted as ``counted_s`` long, since a call is sent some time after its
    token was taken. ``rate_per_s`` and ``kept`` divide it, except for
    ``at_start``, the part that only nodes which have just started use.
    """

    usable: float
    counted_s: float
    rate_per_s: float
    kept: float
    at_start: float

    def kept_by(self, part: float) -> float:
        """Return the tokens that a part of all shares may keep."""
        usable = part * self.usable
        few = min(usable, FEW_KEPT, max(1, FEW_KEPT_SHARE * usable))
        return max(part * self.kept, few)

    def rate_of(self, part: float) -> float:
        """Return the tokens a second of a part of all shares."""
        most_per_s = (part * self.usable - self.kept_by(part)) / self.counted_s
        return min(part * self.rate_per_s, most_per_s)


def limit_of(tenant: Tenant, options: Options) -> AllowanceLimit | None:
    """Return the limit of a tenant, ``None`` if it has none.

    With the defaults, 64 calls a second and a burst of 64 give a bound of 500
    calls in 5 s, of which 475 are used: 427 by the tokens of 5.5 s, and the
    rest by kept ones::

        >>> limit = limit_of(Tenant('t', rate_per_s=64, burst=64), Options())
        >>> round(limit.rate_per_s), round(limit.kept), round(limit.at_start)
        (78, 36, 12)
    """
    if tenant.rate_per_s <= 0:
        return None
    window_s = options.allowance_window_ms / MS_PER_SECOND
    allowed = tenant.rate_per_s * window_s + tenant.burst
    bound = allowed * (1 + options.allowance_overage)
    usable = USABLE_SHARE * (bound + options.allowance_tolerance)
    counted_s = window_s + GRANT_MS / MS_PER_SECOND
    rate_per_s = min(
        RATE_MARGIN * tenant.rate_per_s,
        MAX_RATE_SHARE * usable / counted_s,
    )
    kept = usable - rate_per_s * counted_s
    return AllowanceLimit(
        usable,
        counted_s,
        rate_per_s,
        (1 - START_SHARE) * kept,
        START_SHARE * kept,
    )
