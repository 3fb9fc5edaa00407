"""Asks a few upstreams for their load right before a call is placed.

Reports go stale within the time in which the speed of a shared machine
changes, so a call is placed by answers to probes that were sent for it.
"""

from figdoor_decisions.load_probing._chooser import ExpectedTime
from figdoor_decisions.load_probing._failures import UpstreamFailures
from figdoor_decisions.load_probing._loads import FreshLoads
from figdoor_decisions.load_probing._objective import ObjectiveTimes
from figdoor_decisions.load_probing._prober import ProbeSurvey
from figdoor_kernel import Extension, Registry

__all__ = (
    'ExpectedTime',
    'FreshLoads',
    'ObjectiveTimes',
    'ProbeSurvey',
    'UpstreamFailures',
    'register',
)


def register(registry: Registry) -> None:
    """Provide fresh loads, the survey and the chooser that uses both."""
    registry.provide(
        Extension.SERVICE,
        'upstream-failures',
        UpstreamFailures,
    )
    registry.provide(Extension.SERVICE, 'fresh-loads', FreshLoads)
    registry.provide(Extension.SERVICE, 'objective-times', ObjectiveTimes)
    registry.provide(Extension.LOAD_PROBER, 'probes', ProbeSurvey)
    registry.provide(Extension.CHOOSER, 'expected-time', ExpectedTime)
