"""Cold starts: warmth evidence, the cold allowance, permits and their rule."""

from figdoor_decisions.warmth._allowance import ColdAllowance
from figdoor_decisions.warmth._claim_sender import WarmClaimSender
from figdoor_decisions.warmth._evidence import WarmthEvidence
from figdoor_decisions.warmth._granter import PermitGranter
from figdoor_decisions.warmth._requester import PermitRequester
from figdoor_decisions.warmth._rule import WarmthRule
from figdoor_kernel import Extension, Registry

__all__ = (
    'ColdAllowance',
    'PermitGranter',
    'PermitRequester',
    'WarmClaimSender',
    'WarmthEvidence',
    'WarmthRule',
    'register',
)


def register(registry: Registry) -> None:
    """Provide the services, the permit source and the candidate rule."""
    registry.provide(Extension.SERVICE, 'warmth', WarmthEvidence)
    registry.provide(Extension.SERVICE, 'cold-allowance', ColdAllowance)
    registry.provide(Extension.SERVICE, 'permit-granter', PermitGranter)
    registry.provide(Extension.SERVICE, 'vouching', WarmClaimSender)
    registry.provide(
        Extension.PERMIT_SOURCE,
        'cold-allowance',
        PermitRequester,
    )
    registry.provide(Extension.CANDIDATE_RULE, 'warmth', WarmthRule)
