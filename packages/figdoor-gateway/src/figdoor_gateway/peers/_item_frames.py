"""Frames in which a node takes published items from a peer."""

from dataclasses import dataclass
from typing import Any

import capnp

from figdoor_gateway.peers._item_rows import decode_item, encode_item
from figdoor_gateway.peers._schema import MalformedMessage, schema
from figdoor_gateway.peers._vm_rows import checked_text
from figdoor_kernel import NodeId, PublishedItem, Revision

_MAX_ANSWER_WORDS = 2_000_000


@dataclass(frozen=True, slots=True)
class ItemsRequest:
    """A question for everything that changed after a revision."""

    sender: NodeId
    after: Revision


@dataclass(frozen=True, slots=True)
class ItemsAnswer:
    """The changes, or all items; ``age_ms`` since the store confirmed them."""

    as_of: Revision
    is_whole: bool
    age_ms: float
    items: tuple[PublishedItem, ...]


def encode_items_request(request: ItemsRequest) -> bytes:
    """Return the frame of a question."""
    frame = schema.ItemsRequest.new_message(
        sender=request.sender,
        after=request.after,
    )
    encoded: bytes = frame.to_bytes_packed()
    return encoded


def decode_items_request(frame: bytes) -> ItemsRequest:
    """Return the question; raises ``MalformedMessage``."""
    try:
        read = schema.ItemsRequest.from_bytes_packed(frame)
        return ItemsRequest(
            NodeId(checked_text(read.sender)),
            Revision(read.after),
        )
    except (capnp.KjException, ValueError) as error:
        raise MalformedMessage(str(error)) from error


def encode_items_answer(answer: ItemsAnswer) -> bytes:
    """Return the frame of an answer."""
    frame = schema.ItemsAnswer.new_message(
        asOf=answer.as_of,
        isWhole=answer.is_whole,
        ageMs=answer.age_ms,
        items=[encode_item(item) for item in answer.items],
    )
    encoded: bytes = frame.to_bytes_packed()
    return encoded


def decode_items_answer(frame: bytes) -> ItemsAnswer:
    """Return the answer; raises ``MalformedMessage``."""
    try:
        read: Any = schema.ItemsAnswer.from_bytes_packed(
            frame,
            traversal_limit_in_words=_MAX_ANSWER_WORDS,
        )
        return ItemsAnswer(
            Revision(read.asOf),
            read.isWhole,
            read.ageMs,
            tuple(decode_item(row) for row in read.items),
        )
    except (capnp.KjException, ValueError) as error:
        raise MalformedMessage(str(error)) from error
