"""Spends the measuring budget where a probe tells something new."""

from figdoor_decisions.measuring._budget import NodeCount, probe_interval_ms
from figdoor_decisions.measuring._probe_need import Worth
from figdoor_decisions.measuring._prober import Prober
from figdoor_kernel import Extension, Registry

__all__ = ('NodeCount', 'Prober', 'Worth', 'probe_interval_ms', 'register')


def register(registry: Registry) -> None:
    """Provide the part that asks for probes."""
    registry.provide(Extension.SERVICE, 'measuring', Prober)
