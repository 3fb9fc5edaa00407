"""Probes idle upstreams whose state or load is unknown, within a budget."""

from figdoor_decisions.measuring._budget import NodeCount, probe_interval_ms
from figdoor_decisions.measuring._probe_need import ProbeNeed
from figdoor_decisions.measuring._prober import Prober
from figdoor_kernel import Extension, Registry

__all__ = ('NodeCount', 'Prober', 'ProbeNeed', 'probe_interval_ms', 'register')


def register(registry: Registry) -> None:
    """Provide the prober."""
    registry.provide(Extension.SERVICE, 'measuring', Prober)
