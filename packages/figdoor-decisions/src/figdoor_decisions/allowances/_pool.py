"""The tokens of all tenants that belong to the shares a node holds."""

from collections import deque
from collections.abc import Container, Mapping
from dataclasses import dataclass

from figdoor_decisions.allowances._limits import (
    MS_PER_SECOND,
    AllowanceLimit,
)
from figdoor_kernel import TenantName

# How long the account of a tenant that is no longer listed is kept, so that a
# tenant that returns does not get new tokens.
RETIRED_MS = 60_000.0
# More tokens than few shares have in a window.
MAX_TAKEN = 1000


@dataclass(slots=True)
class _Account:
    """The tokens of one tenant, settled up to ``settled_ms`` of share time."""

    limit: AllowanceLimit
    tokens: float
    settled_ms: float
    kept: float = 0
    # Tokens per millisecond of one share.
    rate_per_ms: float = 0
    retired_at_ms: float | None = None


class TokenPool:
    """Holds the tokens of a number of equal shares of the fleet's limits.

    Tokens accrue by share time, the sum over all shares of the time for which
    each was held. The fleet has ``fleet_size`` shares. What is kept of a
    tenant is limited in proportion to the shares held now: shares that go to
    another node take the room with them.
    """

    def __init__(self) -> None:
        """Create a pool without shares and tenants."""
        self.shares = 0
        self._fleet_size = 1
        self._share_ms: float = 0
        self._accounts: dict[TenantName, _Account] = {}
        self._has_limits = False
        # Recent tokens that few shares took, with their times.
        self._taken: deque[tuple[float, TenantName]] = deque(maxlen=MAX_TAKEN)

    @property
    def is_used(self) -> bool:
        """Whether any listed tenant has a limit."""
        return self._has_limits

    def limits(self, tenant: TenantName) -> bool:
        """Return whether a tenant has a limit."""
        account = self._accounts.get(tenant)
        return account is not None and account.retired_at_ms is None

    def set_limits(
        self,
        limits: Mapping[TenantName, AllowanceLimit],
        now_ms: float,
    ) -> None:
        """Replace the limits; tokens above a lower limit are dropped.

        At the start of the node all accounts are empty, since the node may
        have used its share right before. A tenant that is listed later starts
        with all that may be kept.
        """
        self._settle_all()
        is_first = not self._accounts
        for name, limit in limits.items():
            if name not in self._accounts:
                tokens = 0 if is_first else limit.kept
                account = _Account(limit, tokens, self._share_ms)
                self._accounts[name] = account
            self._accounts[name].limit = limit
        self._retire(limits, now_ms)
        self._has_limits = bool(limits)
        self._divide()

    def hold_shares(self, shares: int, fleet_size: int) -> None:
        """Set the number of shares held from now on, of ``fleet_size``."""
        if shares == self.shares and fleet_size == self._fleet_size:
            return
        self._settle_all()
        self.shares = shares
        self._fleet_size = fleet_size
        self._divide()

    def add_time(self, share_ms: float) -> None:
        """Add time for which shares were held, summed over the shares."""
        self._share_ms += share_ms

    def add_start(self) -> None:
        """Add what one share may use at once after the start of its node."""
        for account in self._accounts.values():
            self._settle(account)
            account.tokens += account.limit.at_start / self._fleet_size

    def take(self, tenant: TenantName, now_ms: float) -> bool:
        """Take a token of a tenant and return whether there was one."""
        account = self._accounts.get(tenant)
        if account is None:
            return False
        self._settle(account)
        if account.tokens < 1:
            return False
        account.tokens -= 1
        if account.kept > self._part * account.limit.kept:
            self._taken.append((now_ms, tenant))
        return True

    def pop_taken(self, since_ms: float) -> tuple[TenantName, ...]:
        """Return and forget tokens that few shares took beyond their part.

        Few shares keep more at once than their part of what larger pools keep.
        A pool that gets these shares has to charge them.
        """
        taken = tuple(
            tenant for taken_ms, tenant in self._taken if taken_ms >= since_ms
        )
        self._taken.clear()
        return taken

    def charge(self, tenant: TenantName) -> None:
        """Take a token for a call that has been sent already.

        The debt is limited by what the shares may use in a window.
        """
        account = self._accounts.get(tenant)
        if account is not None:
            self._settle(account)
            account.tokens = max(
                account.tokens - 1, -self._part * account.limit.usable
            )

    def room_in_ms(self, tenant: TenantName) -> float:
        """Return the time until a token accrues, infinite if none will."""
        account = self._accounts.get(tenant)
        if account is None or account.kept < 1 or not account.rate_per_ms:
            return float('inf')
        self._settle(account)
        missing = max(0, 1 - account.tokens)
        return missing / (account.rate_per_ms * self.shares)

    def _retire(self, listed: Container[TenantName], now_ms: float) -> None:
        """Mark accounts that are not listed, and drop those marked long ago."""
        oldest_ms = now_ms - RETIRED_MS
        for name, account in tuple(self._accounts.items()):
            if name in listed:
                account.retired_at_ms = None
            elif account.retired_at_ms is None:
                account.retired_at_ms = now_ms
            elif account.retired_at_ms < oldest_ms:
                self._accounts.pop(name)

    def _settle_all(self) -> None:
        for account in self._accounts.values():
            self._settle(account)

    def _settle(self, account: _Account) -> None:
        held_ms = self._share_ms - account.settled_ms
        account.settled_ms = self._share_ms
        account.tokens = min(
            account.tokens + held_ms * account.rate_per_ms,
            account.kept,
        )

    def _divide(self) -> None:
        """Renew what is kept, after the shares or the limits changed."""
        part = self._part
        for account in self._accounts.values():
            limit = account.limit
            account.kept = limit.kept_by(part)
            rate_per_ms = limit.rate_of(part) / MS_PER_SECOND
            account.rate_per_ms = rate_per_ms / max(1, self.shares)
            account.tokens = min(account.tokens, account.kept)

    @property
    def _part(self) -> float:
        return self.shares / self._fleet_size
