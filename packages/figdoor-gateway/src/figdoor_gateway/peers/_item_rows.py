"""Converts published items to and from Cap'n Proto."""

from typing import Any

from figdoor_gateway.peers._contents import NO_BASES, Bases, expand
from figdoor_gateway.peers._schema import MalformedMessage
from figdoor_kernel import (
    Era,
    Position,
    PublishedItem,
    Revision,
    era_of,
    position_of,
    revision_of,
)

# The limit of the store.
MAX_KEY_LENGTH = 200


def encode_item(item: PublishedItem) -> dict[str, Any]:
    """Return the fields of an item by their names in the schema."""
    return {
        'key': item.key,
        'revision': revision_of(item.position),
        'era': era_of(item.position),
        'isRemoved': item.content is None,
        'content': item.content or b'',
    }


def encode_shortened(
    item: PublishedItem, shortened: bytes, base: Position
) -> dict[str, Any]:
    """Return the fields of an item with a shorter form of its content."""
    fields = {
        'content': shortened,
        'isShortened': True,
        'base': revision_of(base),
        'baseEra': era_of(base),
    }
    return {**encode_item(item), **fields}


def decode_item(row: Any, bases: Bases = NO_BASES) -> PublishedItem:
    """Return the item; raises ``MalformedMessage``.

    ``bases`` are the contents of which it may be the difference.
    """
    content = None if row.isRemoved else bytes(row.content)
    if row.isShortened and content is not None:
        base = position_of(Era(row.baseEra), Revision(row.base))
        content = expand(content, base, bases)
    position = position_of(Era(row.era), Revision(row.revision))
    return PublishedItem(checked_key(row.key), position, content)


def checked_key(key: str) -> str:
    """Return the key of an item; raises ``MalformedMessage``."""
    if len(key) > MAX_KEY_LENGTH:
        raise MalformedMessage('key is too long')
    return key
