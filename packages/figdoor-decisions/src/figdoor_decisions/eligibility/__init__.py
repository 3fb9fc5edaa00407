"""Rules against availability zones out of service and leaving upstreams."""

from figdoor_decisions.eligibility._rules import (
    AvailabilityZoneRule,
    LeavingRule,
)
from figdoor_kernel import Extension, Node, Registry

__all__ = ('AvailabilityZoneRule', 'LeavingRule', 'register')


def register(registry: Registry) -> None:
    """Provide both rules."""
    registry.provide(
        Extension.CANDIDATE_RULE,
        'availability-zone',
        AvailabilityZoneRule,
    )
    registry.provide(Extension.CANDIDATE_RULE, 'leaving', LeavingRule)
    registry.provide(Extension.TRANSFERABLE_STATE, 'leaving', _leaving_rule)


def _leaving_rule(node: Node) -> LeavingRule:
    rule: LeavingRule = node.part(Extension.CANDIDATE_RULE, 'leaving')
    return rule
