"""Gathers the shares of an availability zone at one of its nodes."""

from collections.abc import Mapping
from dataclasses import dataclass

from figdoor_decisions.allowances._election import ZoneElection
from figdoor_decisions.allowances._fleet_size import ShareCount
from figdoor_decisions.allowances._limits import AllowanceLimit, limit_of
from figdoor_decisions.allowances._pool import TokenPool
from figdoor_kernel import (
    AllowanceLease,
    AllowancePoll,
    AllowanceRequest,
    ExchangeRequested,
    Extension,
    Node,
    NodeId,
    PeerMessage,
    PeerMessageReceived,
    PeerSendRequested,
    Service,
    Tables,
    TablesAccepted,
    TenantName,
    Tick,
)

# How long a share is lent, from the poll that asked for it.
LEASE_MS = 1000.0
# Two polls may be lost before a share returns to its node.
POLL_MS = 300.0
# How long after its start a node that holds no other shares uses its own.
ALONE_MS = 5000.0
# How often a node whose share nobody holds makes itself known in its zone.
EXCHANGE_MS = 400.0
# Ticks come every 50 ms. After a longer gap the process was suspended, and
# the own share accrues nothing for that time.
MAX_GAP_MS = 500.0


@dataclass(slots=True)
class _Lease:
    """A share of another node, counted up to ``counted_ms``."""

    until_ms: float
    counted_ms: float


class AllowanceShares(Service):
    """Holds this node's share of all allowances, or lends it to its zone.

    Each node has an equal share of every allowance. The share of one node is
    too small for single calls of a small tenant, so one node of each zone
    polls the others for theirs. A node that answers does not use its own share
    until the lease has ended on its own clock. The holder measures the lease
    from its poll, which is earlier, so that no share is used by two nodes,
    whatever is lost, delayed or cut off.
    """

    def __init__(self, node: Node) -> None:
        """Start without shares; subscribe to tables, messages and ticks."""
        self._node = node
        self._count_of_fleet = ShareCount(node)
        self._election: ZoneElection = node.part(
            Extension.SERVICE,
            'allowance-election',
        )
        self.pool = TokenPool()
        # The node that this node's share is lent to.
        self.holder: NodeId | None = None
        self._counted_ms = node.clock.now_ms()
        # An earlier process of this node may have lent its share.
        self._lent_until_ms = self._counted_ms + LEASE_MS
        self._alone_from_ms = self._counted_ms + ALONE_MS
        self._next_exchange_ms = self._counted_ms
        self._leases: dict[NodeId, _Lease] = {}
        self._polls_ms: tuple[float, ...] = ()
        self._is_new = True
        node.events.subscribe(TablesAccepted, self._on_tables)
        node.events.subscribe(PeerMessageReceived, self._on_message)
        node.events.subscribe(Tick, self._on_tick)

    @property
    def nearest_holder(self) -> NodeId | None:
        """The node of the zone to ask for tokens, ``None`` for this one."""
        return self.holder or self._election.leader

    def take(self, tenant: TenantName, now_ms: float) -> bool:
        """Take a token from the shares held by this node, if there is one."""
        if not self.pool.shares:
            return False
        self._count(now_ms)
        return self.pool.take(tenant, now_ms)

    def _count(self, now_ms: float) -> None:
        """Add the time for which shares were held, and drop ended leases."""
        share_ms = self._own_time_ms(now_ms)
        self._counted_ms = now_ms
        for lender, lease in tuple(self._leases.items()):
            share_ms += min(now_ms, lease.until_ms) - lease.counted_ms
            lease.counted_ms = now_ms
            if lease.until_ms <= now_ms:
                self._leases.pop(lender)
        self.pool.add_time(share_ms)
        is_own = now_ms >= self._own_from_ms
        shares = len(self._leases) + is_own
        self.pool.hold_shares(shares, self._count_of_fleet.shares(now_ms))
        if is_own:
            self.holder = None
            if self._is_new and self.pool.is_used:
                self._is_new = False
                self.pool.add_start()

    @property
    def _own_from_ms(self) -> float:
        """The time from which this node holds its own share.

        Right after its start a node knows of too few others to divide by.
        """
        if self._leases:
            return self._lent_until_ms
        return max(self._lent_until_ms, self._alone_from_ms)

    def _own_time_ms(self, now_ms: float) -> float:
        own_ms = now_ms - max(self._counted_ms, self._own_from_ms)
        return own_ms if 0 < own_ms <= MAX_GAP_MS else 0

    def _on_tables(self, event: TablesAccepted) -> None:
        if not self.pool.is_used:
            # Nothing was counted while there were no limits.
            self._counted_ms = event.now_ms
        self._count(event.now_ms)
        limits = _limits_of(event.tables, self._node)
        self.pool.set_limits(limits, event.now_ms)

    def _on_tick(self, event: Tick) -> None:
        now_ms = event.now_ms
        if not self.pool.is_used:
            return
        self._count(now_ms)
        is_lent = now_ms < self._lent_until_ms and self.holder is not None
        if not is_lent:
            self._make_known(now_ms)
        if not self._election.is_elected(now_ms, is_lent=is_lent):
            return
        if self._polls_ms and now_ms - self._polls_ms[-1] < POLL_MS:
            return
        oldest_ms = now_ms - LEASE_MS
        recent = (sent for sent in self._polls_ms if sent > oldest_ms)
        self._polls_ms = (*recent, now_ms)
        for peer in self._election.voters:
            self._send(
                peer, AllowancePoll(now_ms, self._count_of_fleet.largest)
            )

    def _make_known(self, now_ms: float) -> None:
        """Exchange members with the first node of the zone.

        The first node itself does so with others for a while, in case it knows
        too few to see that it is not.
        """
        if now_ms < self._next_exchange_ms:
            return
        peer = self._election.leader
        if peer is None and now_ms < self._alone_from_ms:
            peer = self._election.any_member
        if peer is not None:
            self._next_exchange_ms = now_ms + EXCHANGE_MS
            self._node.events.publish(ExchangeRequested(peer, now_ms))

    def _on_message(self, event: PeerMessageReceived) -> None:
        if not self.pool.is_used:
            return
        match event.message:
            case AllowancePoll() as poll:
                self._on_poll(event.sender, poll, event.now_ms)
            case AllowanceLease() as lease:
                self._on_lease(event.sender, lease, event.now_ms)

    def _on_poll(
        self, sender: NodeId, poll: AllowancePoll, now_ms: float
    ) -> None:
        self._count_of_fleet.record(poll.member_count, now_ms)
        if not self._election.accepts(sender, now_ms):
            return
        if now_ms < self._lent_until_ms and self.holder != sender:
            return
        self._count(now_ms)
        is_new_holder = self.holder != sender
        self.holder = sender
        self._lent_until_ms = now_ms + LEASE_MS
        self._count(now_ms)
        count = self._count_of_fleet.largest
        lease = AllowanceLease(poll.token_ms, self._is_new, count)
        self._send(sender, lease)
        self._is_new = False
        if is_new_holder:
            since_ms = now_ms - self._node.options.allowance_window_ms
            for tenant in self.pool.pop_taken(since_ms):
                self._send(sender, AllowanceRequest(tenant, 0))

    def _on_lease(
        self, sender: NodeId, lease: AllowanceLease, now_ms: float
    ) -> None:
        until_ms = lease.token_ms + LEASE_MS
        if lease.token_ms not in self._polls_ms or until_ms <= now_ms:
            return
        self._count_of_fleet.record(lease.member_count, now_ms)
        self._count(now_ms)
        self._leases[sender] = _Lease(until_ms, now_ms)
        self._count(now_ms)
        if lease.adds_start:
            self.pool.add_start()

    def _send(self, peer: NodeId, message: PeerMessage) -> None:
        self._node.events.publish(PeerSendRequested(peer, message))


def _limits_of(
    tables: Tables, node: Node
) -> Mapping[TenantName, AllowanceLimit]:
    limits = {
        name: limit_of(tenant, node.options)
        for name, tenant in tables.tenants.items()
    }
    return {name: limit for name, limit in limits.items() if limit is not None}
