"""Plug-ins: how they register themselves and how a node builds them.

A distribution names functions under the entry point group
``figdoor.plugins``. Each gets the registry and provides its factories::

    def register(registry: Registry) -> None:
        registry.provide(Extension.CHOOSER, 'random', RandomChooser)
"""

from collections.abc import Callable, Mapping
from enum import Enum, unique
from importlib.metadata import entry_points
from typing import TYPE_CHECKING, Any

from figdoor_kernel._errors import PluginError

if TYPE_CHECKING:
    from figdoor_kernel._node import Node

PLUGIN_GROUP = 'figdoor.plugins'


@unique
class Deployment(Enum):
    """How the platform publishes tables and upstreams.

    The value is the last part of the name of the entry point group whose
    plug-ins are used only there.
    """

    VM_LIST = 'vm_list'
    STORE = 'store'


@unique
class Extension(Enum):
    """The kinds of parts that a plug-in can provide."""

    ROUTER = 'router'
    ADMISSION_RULE = 'admission-rule'
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
    RETRY_ADVICE = 'retry-advice'
    READINESS_RULE = 'readiness-rule'
    DIALECT = 'dialect'


Factory = Callable[['Node'], Any]


class Registry:
    """Factories by kind and name."""

    def __init__(self) -> None:
        """Start without plug-ins."""
        self._factories: dict[Extension, dict[str, Factory]] = {}

    def provide(
        self,
        extension: Extension,
        name: str,
        factory: Factory,
    ) -> None:
        """Add a factory; raises ``PluginError`` where the name is taken."""
        named = self._factories.setdefault(extension, {})
        if name in named:
            raise PluginError(f'{extension.value} {name!r} registered twice')
        named[name] = factory

    def names(self, extension: Extension) -> tuple[str, ...]:
        """Return the names of one kind, in the order of registration."""
        return tuple(self._factories.get(extension, ()))

    def factories(self) -> Mapping[Extension, Mapping[str, Factory]]:
        """Return all factories by kind and name."""
        return self._factories

    def factory(self, extension: Extension, name: str) -> Factory:
        """Return one factory; raises ``PluginError`` where there is none."""
        named = self._factories.get(extension, {})
        if name not in named:
            known = ', '.join(named) or 'none'
            raise PluginError(
                f'no {extension.value} named {name!r}; known: {known}',
            )
        return named[name]


def load_plugins(
    module_prefix: str = '',
    deployment: Deployment = Deployment.VM_LIST,
) -> Registry:
    """Return a registry in which all installed plug-ins have registered.

    Entry points are taken in the order of their names, so that two runs on
    the same installation build the same node. Only those are loaded whose
    module starts with ``module_prefix``, from the group of all deployments
    and that of the given one.
    """
    registry = Registry()
    points = (
        *entry_points(group=PLUGIN_GROUP),
        *entry_points(group=f'{PLUGIN_GROUP}.{deployment.value}'),
    )
    for point in sorted(points, key=lambda found: found.name):
        if not point.value.startswith(module_prefix):
            continue
        try:
            register = point.load()
        except ImportError as error:
            raise PluginError(f'plug-in {point.name!r}: {error}') from error
        register(registry)
    return registry
