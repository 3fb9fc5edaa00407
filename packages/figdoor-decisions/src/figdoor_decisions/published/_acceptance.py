"""Accepts the newest tables; never reverts to older ones."""

from figdoor_decisions.published._restoring import RestoredStore
from figdoor_kernel import (
    Era,
    Extension,
    Finding,
    Node,
    Revision,
    Service,
    Tables,
    TablesAccepted,
    TablesRead,
    TablesRefused,
    Tick,
)


class NewestAcceptance(Service):
    """Accepts tables at once, unless their configuration is an older one.

    The store of the platform returns the newest revision and accepts only valid
    configurations, so no agreement between nodes is needed. Tables of the
    revision in force are accepted if their evacuated zones differ: each zone has
    an item of its own, which never reverts either. ``RestoredStore`` says what
    holds after the store has come back from an older copy.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to tables that were read or refused, and to ticks."""
        self._node = node
        self._restored: RestoredStore = node.part(
            Extension.SERVICE, 'restored-store'
        )
        # The tables as the store has them.
        self._stored: Tables | None = None
        self._holds_zones = False
        self.refused_revision = Revision(0)
        self.findings: tuple[Finding, ...] = ()
        node.events.subscribe(TablesRead, self._on_read)
        node.events.subscribe(TablesRefused, self._on_refused)
        node.events.subscribe(Tick, self._on_tick)

    @property
    def revision(self) -> Revision:
        """The revision in force, 0 before the first tables."""
        return self._node.revision

    def wait_reason(self, now_ms: float) -> str | None:
        """Return what the first tables wait for, ``None`` once accepted."""
        if self._node.tables is not None:
            return None
        if not self.findings:
            return 'tables'
        return (
            f'tables; revision {self.refused_revision} is refused: '
            f'{self.findings[0]}'
        )

    def _on_read(self, event: TablesRead) -> None:
        self._stored = event.tables
        self._update(event.tables, event.now_ms)

    def _on_tick(self, event: Tick) -> None:
        is_held = self._holds_zones
        if is_held and not self._restored.holds_zones(event.now_ms):
            if self._stored is not None:
                self._update(self._stored, event.now_ms)

    def _update(self, stored: Tables, now_ms: float) -> None:
        tables = self._restored.merge(stored, now_ms)
        self._holds_zones = self._restored.holds_zones(now_ms)
        if self._is_newer(tables):
            self._node.events.publish(TablesAccepted(tables, now_ms))

    def _is_newer(self, tables: Tables) -> bool:
        current = self._node.tables
        if current is None:
            return True
        if _order(tables) != _order(current):
            return _order(tables) > _order(current)
        return tables.evacuated != current.evacuated

    def _on_refused(self, event: TablesRefused) -> None:
        self.refused_revision = event.revision
        self.findings = event.findings


def _order(tables: Tables) -> tuple[Era, Revision]:
    return tables.era, tables.revision
