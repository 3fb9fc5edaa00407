"""Accepts newer tables without findings; never goes back."""

from returns.result import Failure, Success

from figdoor_kernel import (
    Finding,
    NewsWanted,
    Node,
    Revision,
    RevisionAccepted,
    TablesAccepted,
    TablesOffered,
    TablesRefused,
)
from figdoor_tables import TablesReader


class Acceptance:
    """Decides about each offered pair of tables.

    The pair with the highest revision that has no findings is in force. A
    refused revision is remembered, so that operators can read its findings
    and it is not read again.
    """

    def __init__(self, node: Node) -> None:
        """Follow offers from the service and from peers."""
        self._node = node
        self._reader = TablesReader()
        self.refused_revision = Revision(0)
        self.findings: tuple[Finding, ...] = ()
        node.events.subscribe(TablesOffered, self._on_offered)

    def start(self) -> None:
        """Need no start."""

    def stop(self) -> None:
        """Need no stop."""

    @property
    def revision(self) -> Revision:
        """The revision in force, 0 before the first."""
        tables = self._node.tables
        return tables.revision if tables else Revision(0)

    def _on_offered(self, event: TablesOffered) -> None:
        known = (self.revision, self.refused_revision)
        if event.revision <= known[0] or event.revision == known[1]:
            return
        events = self._node.events
        match self._reader.read(
            event.revision,
            event.routes_text,
            event.pools_text,
        ):
            case Success(tables):
                events.publish(TablesAccepted(tables, event.now_ms))
                news = RevisionAccepted(tables.revision)
                events.publish(NewsWanted(news, event.now_ms))
            case Failure(findings):
                self.refused_revision = event.revision
                self.findings = findings
                events.publish(
                    TablesRefused(event.revision, findings, event.now_ms),
                )
