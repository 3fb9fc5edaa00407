"""The last changes of the tables, for peers that are behind."""

from collections import deque
from dataclasses import dataclass

import xxhash

from figdoor_gateway.peers._frames import Step, SyncAnswer, SyncRequest
from figdoor_kernel import Node, Revision, Tables, TablesPending
from figdoor_tables import apply_changes, difference

# At 17,000 changes a day about five minutes; older peers get a snapshot.
MAX_STEPS = 64


class DoesNotFit(Exception):
    """Steps of a peer do not lead to the tables that it has."""


@dataclass(frozen=True, slots=True)
class _Entry:
    """One step and the revision that it starts from."""

    base: Revision
    step: Step


class History:
    """Remembers by rows what each revision changed.

    Peers get a pair before it is in force here, since it comes into force
    only once they hold it too.
    """

    def __init__(self, node: Node) -> None:
        """Follow the tables that were read."""
        self._tables: Tables | None = None
        self._entries: deque[_Entry] = deque(maxlen=MAX_STEPS)
        node.events.subscribe(TablesPending, self._on_held)

    def answer(self, request: SyncRequest) -> SyncAnswer:
        """Return what leads from the asker's revision to this node's."""
        tables = self._tables
        if tables is None or tables.revision <= request.after:
            return SyncAnswer(request.after)
        checksum = checksum_of(tables.routes_text, tables.pools_text)
        steps = self._steps_from(request.after)
        if steps and not request.wants_snapshot:
            return SyncAnswer(tables.revision, checksum, steps)
        return SyncAnswer(
            tables.revision,
            checksum,
            is_snapshot=True,
            routes=tables.routes_text,
            pools=tables.pools_text,
        )

    def _steps_from(self, base: Revision) -> tuple[Step, ...]:
        entries = tuple(self._entries)
        for number, entry in enumerate(entries):
            if entry.base == base:
                return tuple(later.step for later in entries[number:])
        return ()

    def _on_held(self, event: TablesPending) -> None:
        old = self._tables
        new = event.tables
        self._tables = new
        if old is None:
            return
        step = Step(
            difference(old.routes_text, new.routes_text),
            difference(old.pools_text, new.pools_text),
        )
        self._entries.append(_Entry(old.revision, step))


def checksum_of(routes_text: str, pools_text: str) -> int:
    """Return a checksum over both texts."""
    digest = xxhash.xxh64(routes_text.encode())
    digest.update(b'\0')
    digest.update(pools_text.encode())
    return digest.intdigest()


def texts_from(answer: SyncAnswer, base: Tables | None) -> tuple[str, str]:
    """Return the texts that an answer leads to; raises ``DoesNotFit``."""
    routes, pools = answer.routes, answer.pools
    if not answer.is_snapshot:
        if base is None:
            raise DoesNotFit('steps without tables to apply them to')
        routes, pools = _apply(answer, base)
    if checksum_of(routes, pools) != answer.checksum:
        raise DoesNotFit('texts differ from the checksum')
    return routes, pools


def _apply(answer: SyncAnswer, base: Tables) -> tuple[str, str]:
    routes, pools = base.routes_text, base.pools_text
    try:
        for step in answer.steps:
            routes = apply_changes(routes, step.routes)
            pools = apply_changes(pools, step.pools)
    except ValueError as error:
        raise DoesNotFit(str(error)) from error
    return routes, pools
