"""Routing by authority and path prefix."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from types import MappingProxyType

from figdoor_kernel import ANY, Call, Node, Route, TablesAccepted


@dataclass(frozen=True, slots=True)
class _Prefixes:
    """The routes of one authority by prefix, and the lengths of these.

    A request is compared with one prefix of each length, not with thousands
    of routes.
    """

    lengths: tuple[int, ...]
    routes: Mapping[str, tuple[Route, ...]]

    def matching(self, path: str) -> Iterator[Route]:
        """Return the routes whose prefix begins a path, the longest first."""
        for length in self.lengths:
            yield from self.routes.get(path[:length], ())


_Index = Mapping[str, _Prefixes]
_NO_ROUTES = _Prefixes((), MappingProxyType({}))


class LongestPrefixRouter:
    """Finds routes by exact authority, then ``*``, then the longest prefix.

    A prefix matches whole path segments: ``/parts`` matches ``/parts`` and
    ``/parts/7`` but not ``/partsdesk``.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to accepted tables, whose routes are indexed."""
        self._by_authority: _Index = {}
        node.events.subscribe(TablesAccepted, self._on_tables)

    def find(self, call: Call) -> Route | None:
        """Return the most specific matching route, or ``None``."""
        for authority in (call.authority, ANY):
            prefixes = self._by_authority.get(authority, _NO_ROUTES)
            for route in prefixes.matching(call.path):
                if _matches(route, call):
                    return route
        return None

    def _on_tables(self, event: TablesAccepted) -> None:
        self._by_authority = _index(event.tables.routes)


def _index(routes: Iterable[Route]) -> _Index:
    by_authority: dict[str, list[Route]] = {}
    for route in routes:
        by_authority.setdefault(route.authority, []).append(route)
    return {
        authority: _group(group) for authority, group in by_authority.items()
    }


def _group(routes: Iterable[Route]) -> _Prefixes:
    by_prefix: dict[str, list[Route]] = {}
    for route in routes:
        by_prefix.setdefault(route.path_prefix, []).append(route)
    lengths = sorted(frozenset(map(len, by_prefix)), reverse=True)
    return _Prefixes(
        tuple(lengths),
        {
            prefix: tuple(sorted(group, key=_has_operations, reverse=True))
            for prefix, group in by_prefix.items()
        },
    )


def _has_operations(route: Route) -> bool:
    return bool(route.operations)


def _matches(route: Route, call: Call) -> bool:
    if route.operations and call.operation not in route.operations:
        return False
    prefix = route.path_prefix
    if not call.path.startswith(prefix):
        return False
    remainder = call.path[len(prefix) :]
    return not remainder or prefix.endswith('/') or remainder[0] in '/?'
