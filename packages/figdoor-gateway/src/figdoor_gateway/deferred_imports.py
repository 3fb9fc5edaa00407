"""Delays the execution of modules until one of their names is needed.

The libraries import modules that a node never uses, or uses long after its
start, such as an event loop of their own or an HTTP server. Importing these
costs a node about a quarter of its memory and of its start-up time.

``defer_imports`` must run before the libraries are imported. From then on
``import decimal`` binds a module whose code runs at the first access to one of
its attributes::

    defer_imports()
    import decimal  # does not execute the module yet
    decimal.Decimal(1)  # executes it
"""

import sys
from collections.abc import Mapping, Sequence
from importlib import import_module
from importlib.abc import Loader, MetaPathFinder
from importlib.machinery import ModuleSpec, PathFinder
from importlib.util import find_spec
from types import MappingProxyType, ModuleType
from typing import Any

# Modules that are imported without being used during the start.
_DEFERRED_MODULES = frozenset(
    (
        'csv',
        'decimal',
        'difflib',
        'figdoor_gateway.agents',
        'figdoor_gateway.bodies',
        'glob',
        'hashlib',
        'http.cookiejar',
        'importlib.metadata._adapters',
        'multiprocessing.reduction',
        'pickle',
        'prometheus_client.exposition',
        'shutil',
        'subprocess',
        'tempfile',
        'twisted.internet.process',
        'twisted.internet.unix',
        'xml.dom.minidom',
        'zipfile',
    ),
)
# Packages of which a node needs only a few names. These names, by package, are
# taken from the submodules that define them. Any other name executes the
# package.
_EXPORTS: Mapping[str, Mapping[str, str]] = MappingProxyType(
    {
        'asyncio': {
            'AbstractEventLoop': 'events',
            'BufferedProtocol': 'protocols',
            'Future': 'futures',
            'get_running_loop': 'events',
            'iscoroutine': 'coroutines',
        },
        'figdoor_traces': {
            'SEED_BITS': '_seeding',
            'TraceRandom': '_seeding',
        },
        'prometheus_client': {
            'CollectorRegistry': 'registry',
            'Counter': 'metrics',
            'Gauge': 'metrics',
            'Histogram': 'metrics',
        },
    },
)


def defer_imports() -> None:
    """Defer the modules that are listed here and not imported yet."""
    if not any(isinstance(entry, _Finder) for entry in sys.meta_path):
        sys.meta_path.insert(0, _Finder())


class _Finder(MetaPathFinder):
    """Finds the deferred modules, before the finders of Python."""

    def find_spec(
        self,
        fullname: str,
        path: Sequence[str] | None,
        target: ModuleType | None = None,
    ) -> ModuleSpec | None:
        """Return the usual spec with a loader that defers the execution."""
        if fullname not in _DEFERRED_MODULES and fullname not in _EXPORTS:
            return None
        spec = PathFinder.find_spec(fullname, path, target)
        if spec is not None and spec.loader is not None:
            spec.loader = _DeferringLoader(spec.loader)
        return spec


class _DeferringLoader(Loader):
    """Wraps the loader of a module."""

    def __init__(self, loader: Loader) -> None:
        self.loader = loader

    def create_module(self, spec: ModuleSpec) -> ModuleType | None:
        return self.loader.create_module(spec)

    def exec_module(self, module: ModuleType) -> None:
        module.__class__ = _DeferredModule


class _DeferredModule(ModuleType):
    """A module that is executed at the first access to a missing attribute."""

    def __getattr__(self, name: str) -> Any:
        """Return an exported name, a submodule, or a name of the module."""
        module_name = self.__name__
        submodule = _EXPORTS.get(module_name, {}).get(name)
        if submodule is not None:
            exporter = import_module(f'{module_name}.{submodule}')
            return getattr(exporter, name)
        # The import system asks each module for its ``__path__``, and one
        # that is imported from a package for the submodule.
        if name == '__path__':
            raise AttributeError(name)
        if '__path__' in self.__dict__ and find_spec(f'{module_name}.{name}'):
            return import_module(f'{module_name}.{name}')
        _execute(self)
        return getattr(self, name)


def _execute(module: ModuleType) -> None:
    module.__class__ = ModuleType
    spec = module.__spec__
    if spec is not None and isinstance(spec.loader, _DeferringLoader):
        loader = spec.loader.loader
        spec.loader = loader
        module.__loader__ = loader
        loader.exec_module(module)
