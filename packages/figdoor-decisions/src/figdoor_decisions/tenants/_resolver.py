"""Identification of callers by the digests of their keys."""

from collections.abc import Mapping

from figdoor_kernel import (
    Call,
    Caller,
    KeyDigest,
    KeyState,
    Node,
    Route,
    TablesAccepted,
)

_UNUSED = Caller(KeyState.UNUSED)
_EXEMPT = Caller(KeyState.EXEMPT)
_UNKNOWN = Caller(KeyState.UNKNOWN)


class KeyResolver:
    """Finds tenants by the keys in the tables in force, and by no older ones.

    A key that a version withdraws is thus unknown as soon as that version is
    in force, wherever the version came from.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to accepted tables, whose keys are indexed."""
        self._needs_key = False
        self._by_digest: Mapping[KeyDigest, Caller] = {}
        node.events.subscribe(TablesAccepted, self._on_tables)

    def resolve(self, call: Call, route: Route) -> Caller:
        """Return the caller with the tenant that holds its key."""
        if not self._needs_key:
            return _UNUSED
        if route.is_public:
            return _EXEMPT
        digest = call.key_digest
        if digest is None:
            return _UNKNOWN
        return self._by_digest.get(digest, _UNKNOWN)

    def _on_tables(self, event: TablesAccepted) -> None:
        tables = event.tables
        self._needs_key = tables.needs_key or bool(tables.tenants)
        by_digest = {}
        for tenant in tables.tenants.values():
            caller = Caller(KeyState.KNOWN, tenant)
            by_digest.update(dict.fromkeys(tenant.key_digests, caller))
        self._by_digest = by_digest
