"""Probes the load of a few upstreams before it selects one for a call.

The speed of a shared machine changes so fast that the load reports of earlier
answers are stale. An upstream is therefore selected by the answers to probes
that were sent for the call.
"""

from figdoor_decisions.load_probing._chooser import ExpectedTime
from figdoor_decisions.load_probing._failures import UpstreamFailures
from figdoor_decisions.load_probing._loads import FreshLoads
from figdoor_decisions.load_probing._objective import ObjectiveTimes
from figdoor_decisions.load_probing._prober import SamplingProber
from figdoor_kernel import Extension, Registry

__all__ = (
    'ExpectedTime',
    'FreshLoads',
    'ObjectiveTimes',
    'SamplingProber',
    'UpstreamFailures',
    'register',
)


def register(registry: Registry) -> None:
    """Provide the load prober, its chooser and the state that they share."""
    registry.provide(
        Extension.SERVICE,
        'upstream-failures',
        UpstreamFailures,
    )
    registry.provide(Extension.SERVICE, 'fresh-loads', FreshLoads)
    registry.provide(Extension.SERVICE, 'objective-times', ObjectiveTimes)
    registry.provide(Extension.LOAD_PROBER, 'probes', SamplingProber)
    registry.provide(Extension.CHOOSER, 'expected-time', ExpectedTime)
