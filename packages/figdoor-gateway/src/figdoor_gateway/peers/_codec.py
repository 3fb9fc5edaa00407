"""Encodes datagrams: a sender and one message, as Cap'n Proto.

The schema has a struct with the same fields for each message type of the
kernel, so the encoding is derived from the types.
"""

import math
from collections.abc import Callable
from dataclasses import Field, dataclass, fields
from typing import Any, get_args, get_origin, get_type_hints

import capnp

from figdoor_gateway.peers._item_rows import decode_item, encode_item
from figdoor_gateway.peers._schema import MalformedMessage, schema
from figdoor_gateway.peers._vm_rows import checked_text, decode_vm, encode_vm
from figdoor_kernel import (
    Era,
    NodeId,
    PeerMessage,
    Position,
    PublishedItem,
    Revision,
    Update,
    Vm,
    era_of,
    position_of,
    revision_of,
    serialized_field_name,
    serialized_type_name,
)

MAX_DATAGRAM_BYTES = 1200
MAX_ITEMS = 128
# 16 KB unpacked. Packing omits zero bytes only, of which messages have few.
_MAX_WORDS = 2048
# The field of a flooded message that contains the union of updates.
_UPDATE_FIELD = 'news'
# A position has a second field, for its era, with this ending.
_ERA_SUFFIX = 'Era'


@dataclass(frozen=True, slots=True)
class _Field:
    """One field of a message: its names and its type.

    ``item_type`` is the type of the items if the field is a tuple. A field
    that contains the union of updates has the type ``object``.
    """

    name: str
    schema_name: str
    plain_type: type
    item_type: type
    is_position: bool = False


@dataclass(frozen=True, slots=True)
class _Layout:
    """The struct of one message type and its member of the union."""

    message_type: type
    member: str
    fields: tuple[_Field, ...]


def encode(sender: NodeId, message: PeerMessage) -> bytes:
    """Return the datagram for a message."""
    packet = schema.Packet.new_message()
    packet.sender = sender
    _write_union(packet, message)
    encoded: bytes = packet.to_bytes_packed()
    return encoded


def decode(datagram: bytes) -> tuple[NodeId, PeerMessage]:
    """Return sender and message; raises ``MalformedMessage``."""
    if len(datagram) > MAX_DATAGRAM_BYTES:
        raise MalformedMessage('datagram is too long')
    try:
        return _decode(datagram)
    except (capnp.KjException, ValueError) as error:
        raise MalformedMessage(str(error)) from error


def _decode(datagram: bytes) -> tuple[NodeId, PeerMessage]:
    packet = schema.Packet.from_bytes_packed(
        datagram,
        traversal_limit_in_words=_MAX_WORDS,
    )
    return NodeId(checked_text(packet.sender)), _read_union(packet)


def _write_union(union: Any, message: Any) -> None:
    layout = _LAYOUTS[type(message)]
    struct = union.init(layout.member)
    for field in layout.fields:
        content = getattr(message, field.name)
        if field.schema_name == _UPDATE_FIELD:
            _write_union(struct.init(_UPDATE_FIELD), content)
        elif field.plain_type is tuple:
            write_item = _ITEM_WRITERS.get(field.item_type, _identity)
            setattr(struct, field.schema_name, list(map(write_item, content)))
        elif field.is_position:
            setattr(struct, field.schema_name, revision_of(content))
            setattr(struct, field.schema_name + _ERA_SUFFIX, era_of(content))
        else:
            setattr(struct, field.schema_name, content)


def _read_union(union: Any) -> Any:
    layout = _LAYOUTS_BY_MEMBER.get(str(union.which()))
    if layout is None:
        raise MalformedMessage('unknown message type')
    struct = getattr(union, layout.member)
    decoded = [_read_field(struct, field) for field in layout.fields]
    return layout.message_type(*decoded)


def _read_field(struct: Any, field: _Field) -> Any:
    raw = getattr(struct, field.schema_name)
    if field.is_position:
        era = getattr(struct, field.schema_name + _ERA_SUFFIX)
        return position_of(Era(era), Revision(raw))
    plain_type = field.plain_type
    if plain_type is str:
        return checked_text(raw)
    if plain_type is float and not math.isfinite(raw):
        raise MalformedMessage('number is not finite')
    if plain_type is tuple:
        if len(raw) > MAX_ITEMS:
            raise MalformedMessage('list is too long')
        return tuple(map(_ITEM_READERS.get(field.item_type, _identity), raw))
    return _read_union(raw) if plain_type is object else raw


def _layout(message_type: type) -> _Layout:
    hints = get_type_hints(message_type)
    name = serialized_type_name(message_type)
    return _Layout(
        message_type,
        _camel_case(name[0].lower() + name[1:]),
        tuple(
            _field(field, hints[field.name]) for field in fields(message_type)
        ),
    )


def _field(field: 'Field[Any]', hint: Any) -> _Field:
    item_type = (
        _plain_type(get_args(hint)[0]) if get_origin(hint) is tuple else object
    )
    schema_name = _camel_case(serialized_field_name(field))
    return _Field(
        field.name,
        schema_name,
        _plain_type(hint),
        item_type,
        hint is Position,
    )


def _plain_type(hint: Any) -> type:
    """Return the type behind a generic alias or a ``NewType``."""
    if hint == Update:
        return object
    origin = getattr(hint, '__origin__', None)
    plain: type = origin or getattr(hint, '__supertype__', hint)
    return plain


def _camel_case(name: str) -> str:
    first, *others = name.split('_')
    return first + ''.join(word.capitalize() for word in others)


def _identity(raw: Any) -> Any:
    return raw


_ITEM_READERS: dict[type, Callable[[Any], Any]] = {
    str: checked_text,
    Vm: decode_vm,
    PublishedItem: decode_item,
}
_ITEM_WRITERS: dict[type, Callable[[Any], Any]] = {
    Vm: encode_vm,
    PublishedItem: encode_item,
}
_LAYOUTS = {
    message_type: _layout(message_type)
    for message_type in (*get_args(PeerMessage), *get_args(Update))
}
_LAYOUTS_BY_MEMBER = {layout.member: layout for layout in _LAYOUTS.values()}
