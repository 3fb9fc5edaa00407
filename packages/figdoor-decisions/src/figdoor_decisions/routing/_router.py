"""Routing by authority and path prefix."""

from collections.abc import Iterable, Mapping

from figdoor_kernel import ANY, Call, Node, Route, TablesAccepted

_Index = Mapping[str, tuple[Route, ...]]


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
            for route in self._by_authority.get(authority, ()):
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
        authority: tuple(sorted(group, key=_specificity, reverse=True))
        for authority, group in by_authority.items()
    }


def _specificity(route: Route) -> tuple[int, bool]:
    return (len(route.path_prefix), bool(route.operations))


def _matches(route: Route, call: Call) -> bool:
    if route.operations and call.operation not in route.operations:
        return False
    prefix = route.path_prefix
    if not call.path.startswith(prefix):
        return False
    remainder = call.path[len(prefix) :]
    return not remainder or prefix.endswith('/') or remainder[0] in '/?'
