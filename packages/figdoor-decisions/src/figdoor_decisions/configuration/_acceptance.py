"""Accepts newer tables without findings; never goes back."""

from typing import Protocol

from returns.result import Failure, Success

from figdoor_kernel import (
    BroadcastRequested,
    Extension,
    Finding,
    Node,
    PeerMessageReceived,
    Revision,
    RevisionAccepted,
    Service,
    Tables,
    TablesAccepted,
    TablesOffered,
    TablesPending,
    TablesRefused,
    Tick,
)
from figdoor_tables import TablesReader


class StartRule(Protocol):
    """Says whether a node knows enough to put tables in force."""

    joined: bool

    def may_accept(self, revision: Revision, now_ms: float) -> bool:
        """Return whether tables of this revision may come into force."""

    def missing(self, revision: Revision, now_ms: float) -> str | None:
        """Return what the node waits for, or ``None``."""


class Acceptance(Service):
    """Decides about each offered pair of tables.

    The pair with the highest revision that has no findings is in force. A
    refused revision is remembered, so that operators can read its findings
    and it is not read again. A pair is held back until the start rule allows
    it: the first one because the service may serve an old one, later ones
    until enough neighbours hold them too.
    """

    def __init__(self, node: Node) -> None:
        """Follow offers from the service and from peers."""
        self._node = node
        self._reader = TablesReader()
        self._start_rule: StartRule = node.part(
            Extension.SERVICE,
            'start-rule',
        )
        self._held: Tables | None = None
        self.refused_revision = Revision(0)
        self.findings: tuple[Finding, ...] = ()
        node.events.subscribe(TablesOffered, self._on_offered)
        # The start rule has seen the message by then: it subscribed earlier.
        node.events.subscribe(PeerMessageReceived, self._on_progress)
        node.events.subscribe(Tick, self._on_progress)

    @property
    def revision(self) -> Revision:
        """The revision in force, 0 before the first."""
        return self._node.revision

    @property
    def known_revision(self) -> Revision:
        """The newest revision that was in force, held back or refused."""
        return max(self._read_revision, self.refused_revision)

    def waits_for(self, now_ms: float) -> str | None:
        """Return why no tables are in force, or ``None`` where some are."""
        if self._node.tables is not None:
            return None
        if self._held is None:
            return 'tables'
        return self._start_rule.missing(self._held.revision, now_ms)

    @property
    def _read_revision(self) -> Revision:
        held = self._held.revision if self._held else Revision(0)
        return max(self.revision, held)

    def _on_offered(self, event: TablesOffered) -> None:
        known = self._read_revision
        if event.revision <= known or event.revision == self.refused_revision:
            return
        match self._reader.read(
            event.revision,
            event.routes_text,
            event.pools_text,
        ):
            case Success(tables):
                self._held = tables
                self._node.events.publish(TablesPending(tables, event.now_ms))
                self._accept_held(event.now_ms)
            case Failure(findings):
                self._refuse(event, findings)

    def _on_progress(self, event: Tick | PeerMessageReceived) -> None:
        if self._held is not None:
            self._accept_held(event.now_ms)

    def _accept_held(self, now_ms: float) -> None:
        tables = self._held
        if tables is None:
            return
        if not self._start_rule.may_accept(tables.revision, now_ms):
            return
        self._held = None
        events = self._node.events
        events.publish(TablesAccepted(tables, now_ms))
        events.publish(
            BroadcastRequested(RevisionAccepted(tables.revision), now_ms)
        )

    def _refuse(
        self,
        event: TablesOffered,
        findings: tuple[Finding, ...],
    ) -> None:
        self.refused_revision = event.revision
        self.findings = findings
        self._node.events.publish(
            TablesRefused(event.revision, findings, event.now_ms),
        )
