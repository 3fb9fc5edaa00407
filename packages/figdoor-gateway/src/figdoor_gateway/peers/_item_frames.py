"""Requests and answers for published items over TCP, as Cap'n Proto."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import capnp

from figdoor_gateway.peers._contents import NO_BASES, Bases
from figdoor_gateway.peers._item_rows import (
    checked_key,
    decode_item,
    encode_item,
)
from figdoor_gateway.peers._schema import MalformedMessage, schema
from figdoor_gateway.peers._vm_rows import checked_text
from figdoor_kernel import (
    Era,
    NodeId,
    Position,
    PublishedItem,
    Revision,
    era_of,
    position_of,
    revision_of,
)

# 16 MB unpacked.
_MAX_ANSWER_WORDS = 2_000_000

ItemEncoder = Callable[[PublishedItem], dict[str, Any]]


@dataclass(frozen=True, slots=True)
class ItemsRequest:
    """A request for the items that changed after position ``after``.

    ``bases`` are the positions of the large items that the sender has, all of
    the same era. They are ``None`` if it takes no item in a shorter form.
    """

    sender: NodeId
    after: Position
    bases: tuple[Position, ...] | None = None


@dataclass(frozen=True, slots=True)
class ItemsAnswer:
    """The changed items, or all items if ``is_whole``.

    ``age_ms`` is the time since the store confirmed them. ``existing_keys`` are
    those of ``ItemChanges``.
    """

    as_of: Position
    is_whole: bool
    age_ms: float
    items: tuple[PublishedItem, ...]
    existing_keys: frozenset[str] = frozenset()


def encode_items_request(request: ItemsRequest) -> bytes:
    """Return the frame of a request."""
    frame = schema.ItemsRequest.new_message(
        sender=request.sender,
        after=revision_of(request.after),
        era=era_of(request.after),
        acceptsShortened=request.bases is not None,
        bases=list(map(revision_of, request.bases or ())),
    )
    encoded: bytes = frame.to_bytes_packed()
    return encoded


def decode_items_request(frame: bytes) -> ItemsRequest:
    """Return the request; raises ``MalformedMessage``."""
    try:
        return _decode_request(schema.ItemsRequest.from_bytes_packed(frame))
    except (capnp.KjException, ValueError) as error:
        raise MalformedMessage(str(error)) from error


def _decode_request(request: Any) -> ItemsRequest:
    era = Era(request.era)
    bases = (position_of(era, Revision(base)) for base in request.bases)
    return ItemsRequest(
        NodeId(checked_text(request.sender)),
        position_of(era, Revision(request.after)),
        tuple(bases) if request.acceptsShortened else None,
    )


def encode_items_answer(
    answer: ItemsAnswer,
    encode: ItemEncoder = encode_item,
) -> bytes:
    """Return the frame of an answer; ``encode`` returns the row of an item."""
    frame = schema.ItemsAnswer.new_message(
        asOf=revision_of(answer.as_of),
        asOfEra=era_of(answer.as_of),
        isWhole=answer.is_whole,
        ageMs=answer.age_ms,
        items=list(map(encode, answer.items)),
        existingKeys=list(answer.existing_keys),
    )
    encoded: bytes = frame.to_bytes_packed()
    return encoded


def decode_items_answer(frame: bytes, bases: Bases = NO_BASES) -> ItemsAnswer:
    """Return the answer; raises ``MalformedMessage``.

    ``bases`` are the contents that the request named, by their positions.
    """
    try:
        answer: Any = schema.ItemsAnswer.from_bytes_packed(
            frame,
            traversal_limit_in_words=_MAX_ANSWER_WORDS,
        )
        return ItemsAnswer(
            position_of(Era(answer.asOfEra), Revision(answer.asOf)),
            answer.isWhole,
            answer.ageMs,
            tuple(decode_item(row, bases) for row in answer.items),
            frozenset(checked_key(key) for key in answer.existingKeys),
        )
    except (capnp.KjException, ValueError) as error:
        raise MalformedMessage(str(error)) from error
