"""Requests and answers for tables over TCP, as Cap'n Proto."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import capnp

from figdoor_gateway.peers._schema import MalformedMessage, schema
from figdoor_gateway.peers._vm_rows import checked_text, decode_vm, encode_vm
from figdoor_kernel import NodeId, Revision, Vm
from figdoor_tables import Change

MAX_REQUEST_BYTES = 1024
# Enough for three tables of 1 MB each and a VM list of 6,700 rows.
MAX_ANSWER_BYTES = 5_000_000
# 16 MB unpacked.
_MAX_ANSWER_WORDS = 2_000_000


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """A request for tables that are newer than revision ``after``."""

    sender: NodeId
    after: Revision
    wants_snapshot: bool = False
    wants_vm_list: bool = False


@dataclass(frozen=True, slots=True)
class Step:
    """The changes of the tables in one revision."""

    routes: tuple[Change, ...]
    pools: tuple[Change, ...]
    tenants: tuple[Change, ...] = ()


@dataclass(frozen=True, slots=True)
class SyncAnswer:
    """Steps from the revision in the request, a snapshot, or neither.

    ``checksum`` is the checksum of the resulting texts. There are neither
    steps nor a snapshot if the requesting node is up to date.
    """

    revision: Revision
    checksum: int = 0
    steps: tuple[Step, ...] = ()
    is_snapshot: bool = False
    routes: str = ''
    pools: str = ''
    vms: tuple[Vm, ...] = ()
    tenants: str = ''


def encode_request(request: SyncRequest) -> bytes:
    """Return the frame of a request."""
    frame = schema.SyncRequest.new_message(
        sender=request.sender,
        after=request.after,
        wantsSnapshot=request.wants_snapshot,
        wantsVmList=request.wants_vm_list,
    )
    encoded: bytes = frame.to_bytes_packed()
    return encoded


def decode_request(frame: bytes) -> SyncRequest:
    """Return the request; raises ``MalformedMessage``."""
    try:
        return _decode_request(schema.SyncRequest.from_bytes_packed(frame))
    except (capnp.KjException, ValueError) as error:
        raise MalformedMessage(str(error)) from error


def encode_answer(answer: SyncAnswer) -> bytes:
    """Return the frame of an answer."""
    frame = schema.SyncAnswer.new_message(
        revision=answer.revision,
        checksum=answer.checksum,
        steps=[
            {
                'routes': _encode_changes(step.routes),
                'pools': _encode_changes(step.pools),
                'tenants': _encode_changes(step.tenants),
            }
            for step in answer.steps
        ],
        isSnapshot=answer.is_snapshot,
        routes=answer.routes,
        pools=answer.pools,
        vms=[encode_vm(vm) for vm in answer.vms],
        tenants=answer.tenants,
    )
    encoded: bytes = frame.to_bytes_packed()
    return encoded


def decode_answer(frame: bytes) -> SyncAnswer:
    """Return the answer; raises ``MalformedMessage``."""
    try:
        return _decode_answer(
            schema.SyncAnswer.from_bytes_packed(
                frame,
                traversal_limit_in_words=_MAX_ANSWER_WORDS,
            ),
        )
    except (capnp.KjException, ValueError) as error:
        raise MalformedMessage(str(error)) from error


def _decode_request(frame: Any) -> SyncRequest:
    return SyncRequest(
        NodeId(checked_text(frame.sender)),
        Revision(frame.after),
        frame.wantsSnapshot,
        frame.wantsVmList,
    )


def _decode_answer(frame: Any) -> SyncAnswer:
    return SyncAnswer(
        Revision(frame.revision),
        frame.checksum,
        tuple(
            Step(
                _decode_changes(step.routes),
                _decode_changes(step.pools),
                _decode_changes(step.tenants),
            )
            for step in frame.steps
        ),
        frame.isSnapshot,
        frame.routes,
        frame.pools,
        tuple(decode_vm(row) for row in frame.vms),
        frame.tenants,
    )


def _encode_changes(changes: Sequence[Change]) -> list[dict[str, Any]]:
    return [
        {
            'start': change.start,
            'removed': change.removed,
            'added': list(change.added),
        }
        for change in changes
    ]


def _decode_changes(changes: Any) -> tuple[Change, ...]:
    return tuple(
        Change(change.start, change.removed, tuple(change.added))
        for change in changes
    )
