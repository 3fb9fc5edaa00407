"""Recent changes of the tables, for peers with older revisions."""

from collections import deque
from dataclasses import dataclass

import xxhash

from figdoor_gateway.peers._frames import Step, SyncAnswer, SyncRequest
from figdoor_kernel import Node, Revision, Tables, TablesPending
from figdoor_tables import apply_changes, difference

# About five minutes at 17,000 changes a day; older peers get a snapshot.
MAX_STEPS = 64


class StepsMismatchError(Exception):
    """The steps of a peer cannot be applied, or the checksum differs."""


@dataclass(frozen=True, slots=True)
class _Entry:
    """One step and the revision to which it applies."""

    base: Revision
    step: Step


class History:
    """Keeps the changed rows of the last revisions.

    Peers get pending tables, too: tables come into force only after the peers
    have them.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to pending tables."""
        self._tables: Tables | None = None
        self._entries: deque[_Entry] = deque(maxlen=MAX_STEPS)
        node.events.subscribe(TablesPending, self._on_pending)

    def answer(self, request: SyncRequest) -> SyncAnswer:
        """Return steps or a snapshot that lead to this node's revision."""
        tables = self._tables
        if tables is None or tables.revision <= request.after:
            return SyncAnswer(request.after)
        checksum = checksum_of(
            tables.routes_text, tables.pools_text, tables.tenants_text
        )
        steps = self._steps_from(request.after)
        if steps and not request.wants_snapshot:
            return SyncAnswer(tables.revision, checksum, steps)
        return SyncAnswer(
            tables.revision,
            checksum,
            is_snapshot=True,
            routes=tables.routes_text,
            pools=tables.pools_text,
            tenants=tables.tenants_text,
        )

    def _steps_from(self, base: Revision) -> tuple[Step, ...]:
        entries = tuple(self._entries)
        for index, entry in enumerate(entries):
            if entry.base == base:
                return tuple(later.step for later in entries[index:])
        return ()

    def _on_pending(self, event: TablesPending) -> None:
        old = self._tables
        new = event.tables
        self._tables = new
        if old is None:
            return
        step = Step(
            difference(old.routes_text, new.routes_text),
            difference(old.pools_text, new.pools_text),
            difference(old.tenants_text, new.tenants_text),
        )
        self._entries.append(_Entry(old.revision, step))


def checksum_of(
    routes_text: str,
    pools_text: str,
    tenants_text: str = '',
) -> int:
    """Return the checksum of the texts of the tables.

    Without a tenants table it is that of a release without such tables, so
    that nodes of both releases get tables from each other.
    """
    digest = xxhash.xxh64(routes_text.encode())
    digest.update(b'\0')
    digest.update(pools_text.encode())
    if tenants_text:
        digest.update(b'\0')
        digest.update(tenants_text.encode())
    return digest.intdigest()


def texts_from(
    answer: SyncAnswer,
    base: Tables | None,
) -> tuple[str, str, str]:
    """Return the texts of routes, pools and tenants in an answer.

    Steps are applied to ``base``. Raises ``StepsMismatchError`` if they do not
    apply, or if the texts do not match the checksum of the answer.
    """
    texts = (answer.routes, answer.pools, answer.tenants)
    if not answer.is_snapshot:
        if base is None:
            raise StepsMismatchError('steps without tables to apply them to')
        texts = _apply(answer, base)
    if checksum_of(*texts) != answer.checksum:
        raise StepsMismatchError('texts do not match the checksum')
    return texts


def _apply(answer: SyncAnswer, base: Tables) -> tuple[str, str, str]:
    routes, pools = base.routes_text, base.pools_text
    tenants = base.tenants_text
    try:
        for step in answer.steps:
            routes = apply_changes(routes, step.routes)
            pools = apply_changes(pools, step.pools)
            tenants = apply_changes(tenants, step.tenants)
    except ValueError as error:
        raise StepsMismatchError(str(error)) from error
    return routes, pools, tenants
