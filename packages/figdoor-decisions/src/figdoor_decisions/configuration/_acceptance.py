"""Accepts valid tables of a newer revision; never reverts to an older one."""

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
    """Decides when pending tables may come into force."""

    joined: bool

    def may_accept(self, revision: Revision, now_ms: float) -> bool:
        """Return whether tables of this revision may come into force."""

    def wait_reason(self, revision: Revision, now_ms: float) -> str | None:
        """Return what the first tables wait for, ``None`` if for nothing."""


class Acceptance(Service):
    """Accepts or refuses each revision of the tables that is offered.

    The highest revision without findings comes into force. The last refused
    revision is kept: operators can read its findings, and it is not parsed
    again. Tables stay pending until the start rule allows them: the first ones
    because the configuration service may return an old revision, later ones
    until enough neighbours have read them too.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to offered tables, and to events that may allow them."""
        self._node = node
        self._reader = TablesReader()
        self._start_rule: StartRule = node.part(
            Extension.SERVICE,
            'start-rule',
        )
        self._pending: Tables | None = None
        self.refused_revision = Revision(0)
        self.findings: tuple[Finding, ...] = ()
        node.events.subscribe(TablesOffered, self._on_offered)
        # The start rule subscribed earlier and has handled the message by then.
        node.events.subscribe(PeerMessageReceived, self._retry_pending)
        node.events.subscribe(Tick, self._retry_pending)

    @property
    def revision(self) -> Revision:
        """The revision in force, 0 before the first tables."""
        return self._node.revision

    @property
    def known_revision(self) -> Revision:
        """The newest revision that is in force, pending or refused."""
        return max(self._read_revision, self.refused_revision)

    def wait_reason(self, now_ms: float) -> str | None:
        """Return what the first tables wait for, ``None`` once accepted."""
        if self._node.tables is not None:
            return None
        if self._pending is None:
            return 'tables'
        return self._start_rule.wait_reason(self._pending.revision, now_ms)

    @property
    def _read_revision(self) -> Revision:
        pending = self._pending.revision if self._pending else Revision(0)
        return max(self.revision, pending)

    def _on_offered(self, event: TablesOffered) -> None:
        newest = self._read_revision
        if event.revision <= newest or event.revision == self.refused_revision:
            return
        match self._reader.read(
            event.revision,
            event.routes_text,
            event.pools_text,
            event.tenants_text,
        ):
            case Success(tables):
                self._pending = tables
                self._node.events.publish(TablesPending(tables, event.now_ms))
                self._accept_pending(event.now_ms)
            case Failure(findings):
                self._refuse(event, findings)

    def _retry_pending(self, event: Tick | PeerMessageReceived) -> None:
        if self._pending is not None:
            self._accept_pending(event.now_ms)

    def _accept_pending(self, now_ms: float) -> None:
        tables = self._pending
        if tables is None:
            return
        if not self._start_rule.may_accept(tables.revision, now_ms):
            return
        self._pending = None
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
