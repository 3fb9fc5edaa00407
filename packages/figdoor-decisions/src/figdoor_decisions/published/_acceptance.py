"""Puts the newest tables in force; never goes back."""

from figdoor_kernel import (
    Finding,
    Node,
    Revision,
    Service,
    TablesAccepted,
    TablesRead,
    TablesRefused,
)


class NewestAcceptance(Service):
    """Accepts tables of a higher revision at once.

    The platform's store answers with the newest revision and takes valid
    configurations only, so that no agreement between nodes is needed.
    """

    def __init__(self, node: Node) -> None:
        """Follow the tables that were read."""
        self._node = node
        self.refused_revision = Revision(0)
        self.findings: tuple[Finding, ...] = ()
        node.events.subscribe(TablesRead, self._on_read)
        node.events.subscribe(TablesRefused, self._on_refused)

    @property
    def revision(self) -> Revision:
        """The revision in force, 0 before the first."""
        return self._node.revision

    def wait_reason(self, now_ms: float) -> str | None:
        """Return why no tables are in force, or ``None`` where some are."""
        return 'tables' if self._node.tables is None else None

    def _on_read(self, event: TablesRead) -> None:
        if event.tables.revision > self.revision:
            events = self._node.events
            events.publish(TablesAccepted(event.tables, event.now_ms))

    def _on_refused(self, event: TablesRefused) -> None:
        self.refused_revision = event.revision
        self.findings = event.findings
