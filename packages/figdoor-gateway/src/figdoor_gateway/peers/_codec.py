"""Datagrams: one message of the kernel and its sender, as Cap'n Proto.

The schema has a struct for each message type with the same fields, so the
types themselves say how they are encoded.
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
    NodeId,
    PeerMessage,
    PublishedItem,
    Update,
    Vm,
    serialized_field_name,
    serialized_type_name,
)

MAX_DATAGRAM_BYTES = 1200
MAX_ITEMS = 128
# 16 KB unpacked: packing saves zeros only, of which a message has few.
_MAX_WORDS = 2048
_NEWS_FIELD = 'news'


@dataclass(frozen=True, slots=True)
class _Field:
    """One field: its name here and in the schema, and how to check it.

    ``item`` is the type of the items where the field is a tuple.
    """

    name: str
    schema_name: str
    kind: type
    item: type


@dataclass(frozen=True, slots=True)
class _Layout:
    """How one message type is laid out."""

    message_type: type
    arm: str
    fields: tuple[_Field, ...]


def encode(sender: NodeId, message: PeerMessage) -> bytes:
    """Return the datagram for a message."""
    packet = schema.Packet.new_message()
    packet.sender = sender
    _fill(packet, message)
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
    return NodeId(checked_text(packet.sender)), _read(packet)


def _fill(union: Any, message: Any) -> None:
    layout = _LAYOUTS[type(message)]
    struct = union.init(layout.arm)
    for field in layout.fields:
        content = getattr(message, field.name)
        if field.schema_name == _NEWS_FIELD:
            _fill(struct.init(_NEWS_FIELD), content)
        elif field.kind is tuple:
            encode_one = _ITEM_WRITERS.get(field.item, _same)
            setattr(struct, field.schema_name, list(map(encode_one, content)))
        else:
            setattr(struct, field.schema_name, content)


def _read(union: Any) -> Any:
    layout = _BY_ARM.get(str(union.which()))
    if layout is None:
        raise MalformedMessage('unknown kind of message')
    struct = getattr(union, layout.arm)
    decoded = [
        _read_field(getattr(struct, field.schema_name), field)
        for field in layout.fields
    ]
    return layout.message_type(*decoded)


def _read_field(raw: Any, field: _Field) -> Any:
    kind = field.kind
    if kind is str:
        return checked_text(raw)
    if kind is float and not math.isfinite(raw):
        raise MalformedMessage('number is not finite')
    if kind is tuple:
        if len(raw) > MAX_ITEMS:
            raise MalformedMessage('list is too long')
        return tuple(map(_ITEM_READERS.get(field.item, _same), raw))
    return _read(raw) if kind is object else raw


def _layout(message_type: type) -> _Layout:
    hints = get_type_hints(message_type)
    name = serialized_type_name(message_type)
    return _Layout(
        message_type,
        _camel(name[0].lower() + name[1:]),
        tuple(
            _field(field, hints[field.name]) for field in fields(message_type)
        ),
    )


def _field(field: 'Field[Any]', hint: Any) -> _Field:
    item = _kind(get_args(hint)[0]) if get_origin(hint) is tuple else object
    schema_name = _camel(serialized_field_name(field))
    return _Field(field.name, schema_name, _kind(hint), item)


def _kind(hint: Any) -> type:
    """Return the plain type behind a field's type."""
    if hint == Update:
        return object
    origin = getattr(hint, '__origin__', None)
    plain: type = origin or getattr(hint, '__supertype__', hint)
    return plain


def _camel(name: str) -> str:
    first, *rest = name.split('_')
    return first + ''.join(word.capitalize() for word in rest)


def _same(raw: Any) -> Any:
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
_BY_ARM = {layout.arm: layout for layout in _LAYOUTS.values()}
