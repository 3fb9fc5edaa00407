"""Registry of plug-ins, which register themselves through entry points.

A distribution declares functions in the entry point group
``figdoor.plugins``. Each is called with the registry and adds its factories::

    def register(registry: Registry) -> None:
        registry.provide(Extension.CHOOSER, 'random', RandomChooser)
"""

import sys
from collections.abc import Callable, Mapping
from enum import Enum, unique
from importlib.metadata import EntryPoint, distributions
from pathlib import Path
from typing import TYPE_CHECKING, Any

from figdoor_kernel._errors import PluginError

if TYPE_CHECKING:
    from figdoor_kernel._node import Node

PLUGIN_GROUP = 'figdoor.plugins'


@unique
class Deployment(Enum):
    """How the platform publishes tables and upstreams.

    The value is the suffix of the entry point group whose plug-ins are
    loaded only for this deployment.
    """

    VM_LIST = 'vm_list'
    STORE = 'store'


@unique
class Extension(Enum):
    """Extension points: the kinds of parts that a plug-in can provide."""

    ROUTER = 'router'
    TENANT_RESOLVER = 'tenant-resolver'
    ADMISSION_RULE = 'admission-rule'
    ADMISSION_SOURCE = 'admission-source'
    CANDIDATE_RULE = 'candidate-rule'
    PERMIT_SOURCE = 'permit-source'
    CHOOSER = 'chooser'
    RETRY_RULE = 'retry-rule'
    SERVICE = 'service'
    FRONT_END = 'front-end'
    UPSTREAM_TRANSPORT = 'upstream-transport'
    CONFIG_SOURCE = 'config-source'
    VM_LIST_SOURCE = 'vm-list-source'
    PEER_TRANSPORT = 'peer-transport'
    OPERATOR_PAGE = 'operator-page'
    HEDGE_RULE = 'hedge-rule'
    LOAD_PROBER = 'load-survey'
    CALL_QUEUE = 'call-queue'
    RETRY_ADVICE = 'retry-advice'
    READINESS_RULE = 'readiness-rule'
    DIALECT = 'dialect'
    TRANSFERABLE_STATE = 'transferable-state'


Factory = Callable[['Node'], Any]


class Registry:
    """Factories of parts, by extension point and name."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self._factories: dict[Extension, dict[str, Factory]] = {}

    def provide(
        self,
        extension: Extension,
        name: str,
        factory: Factory,
    ) -> None:
        """Add a factory; raise ``PluginError`` if the name is taken."""
        factories = self._factories.setdefault(extension, {})
        if name in factories:
            raise PluginError(f'{extension.value} {name!r} is registered twice')
        factories[name] = factory

    def names(self, extension: Extension) -> tuple[str, ...]:
        """Return the names at an extension point, in registration order."""
        return tuple(self._factories.get(extension, ()))

    def factories(self) -> Mapping[Extension, Mapping[str, Factory]]:
        """Return all factories, by extension point and name."""
        return self._factories

    def factory(self, extension: Extension, name: str) -> Factory:
        """Return a factory; raise ``PluginError`` if it is not registered."""
        factories = self._factories.get(extension, {})
        if name not in factories:
            names = ', '.join(factories) or 'none'
            raise PluginError(
                f'no {extension.value} named {name!r}; registered: {names}',
            )
        return factories[name]


def load_plugins(
    module_prefix: str = '',
    deployment: Deployment = Deployment.VM_LIST,
) -> Registry:
    """Return a registry with the factories of all installed plug-ins.

    Entry points are loaded in the order of their names, so that two runs on
    the same installation build the same node. They come from the group for
    all deployments and the group of ``deployment``; those whose module does
    not start with ``module_prefix`` are skipped.
    """
    registry = Registry()
    groups = frozenset((PLUGIN_GROUP, f'{PLUGIN_GROUP}.{deployment.value}'))
    for point in sorted(_find(groups), key=lambda entry: entry.name):
        if not point.value.startswith(module_prefix):
            continue
        try:
            register = point.load()
        except ImportError as error:
            raise PluginError(
                f'cannot import plug-in {point.name!r}: {error}'
            ) from error
        register(registry)
    return registry


def _find(groups: frozenset[str]) -> tuple[EntryPoint, ...]:
    """Return the installed entry points of these groups.

    The first one of each name on the path is used, as in ``entry_points``.
    That function searches the path once for each group. It also opens paths
    that do not exist as archives, which imports ``zipfile`` and ``tempfile``.
    """
    folders = [entry for entry in sys.path if Path(entry).is_dir()]
    points: dict[tuple[str, str], EntryPoint] = {}
    for distribution in distributions(path=folders):
        for point in distribution.entry_points:
            if point.group in groups:
                points.setdefault((point.group, point.name), point)
    return tuple(points.values())
