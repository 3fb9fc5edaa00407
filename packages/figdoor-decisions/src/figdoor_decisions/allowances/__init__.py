"""Allowances of tenants over the whole fleet.

Each node has an equal share of every allowance. The nodes of an availability
zone lend their shares to one of them, which grants single calls; nodes that
find no room there ask the other zones. docs/design/allowances.md weighs other
ways.
"""

from figdoor_decisions.allowances._election import ZoneElection
from figdoor_decisions.allowances._limits import AllowanceLimit, limit_of
from figdoor_decisions.allowances._pool import TokenPool
from figdoor_decisions.allowances._requests import AllowanceRequests
from figdoor_decisions.allowances._shares import AllowanceShares
from figdoor_kernel import Extension, Node, Registry

__all__ = (
    'AllowanceLimit',
    'AllowanceRequests',
    'AllowanceShares',
    'TokenPool',
    'ZoneElection',
    'limit_of',
    'register',
)


def register(registry: Registry) -> None:
    """Provide the shares of this node, and the requests for tokens."""
    registry.provide(Extension.SERVICE, 'allowance-election', ZoneElection)
    registry.provide(Extension.SERVICE, 'allowance-shares', AllowanceShares)
    registry.provide(
        Extension.SERVICE,
        'allowance-requests',
        AllowanceRequests,
    )
    registry.provide(Extension.ADMISSION_SOURCE, 'allowance', _requests_of)
    registry.provide(Extension.ADMISSION_RULE, 'allowance', _requests_of)


def _requests_of(node: Node) -> AllowanceRequests:
    requests: AllowanceRequests = node.part(
        Extension.SERVICE,
        'allowance-requests',
    )
    return requests
