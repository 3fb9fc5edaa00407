"""Conversion of the kernel's values to and from JSON values, by type hints.

A dataclass becomes an object with its serialized type name under ``kind``,
an ``Enum`` member becomes its value, and a tuple becomes a list. Fields that
hold keys of callers are left out.
"""

from collections.abc import Mapping, Sequence
from dataclasses import fields, is_dataclass
from enum import Enum
from functools import cache
from types import NoneType, UnionType
from typing import Any, NewType, get_args, get_origin, get_type_hints

from figdoor_kernel import (
    DIGEST_BYTES,
    KeyDigest,
    is_recorded_field,
    serialized_field_name,
    serialized_type_name,
)

KIND = 'kind'


def digest_of_number(number: int) -> KeyDigest:
    """Return the digest that stands for the key with this number in a trace."""
    return KeyDigest(number.to_bytes(DIGEST_BYTES, 'big'))


def encode(decoded: Any) -> Any:
    """Return the JSON value of a kernel value.

    >>> from figdoor_kernel import Revision, RevisionAccepted
    >>> encode(RevisionAccepted(Revision(3)))
    {'kind': 'RevisionAccepted', 'revision': 3}
    """
    if is_dataclass(decoded):
        encoded = {KIND: serialized_type_name(type(decoded))}
        for field in filter(is_recorded_field, fields(decoded)):
            name = serialized_field_name(field)
            encoded[name] = encode(getattr(decoded, field.name))
        return encoded
    if isinstance(decoded, Enum):
        return decoded.value
    if isinstance(decoded, Mapping):
        return {str(key): encode(element) for key, element in decoded.items()}
    if isinstance(decoded, (tuple, list, frozenset)):
        return [encode(element) for element in decoded]
    return decoded


def decode(hint: Any, encoded: Any) -> Any:
    """Return the value of type ``hint`` that a JSON value stands for.

    Raises ``ValueError`` or ``TypeError`` if ``encoded`` does not match.
    """
    if isinstance(hint, NewType):
        return decode(hint.__supertype__, encoded)
    if isinstance(hint, UnionType):
        return _decode_union(get_args(hint), encoded)
    if get_origin(hint) is tuple:
        return tuple(decode(get_args(hint)[0], element) for element in encoded)
    if is_dataclass(hint):
        return _decode_fields(hint, encoded)
    if issubclass(hint, Enum):
        return hint(encoded)
    return _decode_scalar(hint, encoded)


def _decode_union(hints: Sequence[Any], encoded: Any) -> Any:
    if encoded is None and NoneType in hints:
        return None
    kind = encoded.get(KIND) if isinstance(encoded, Mapping) else None
    for hint in hints:
        if hint is not NoneType and kind in {None, _name(hint)}:
            return decode(hint, encoded)
    raise ValueError(
        f'kind {kind!r} is not one of {", ".join(map(_name, hints))}'
    )


def _decode_fields(hint: Any, encoded: Mapping[str, Any]) -> Any:
    hints = _hints(hint)
    names = _field_names(hint)
    unknown = set(encoded) - set(names) - {KIND}
    if unknown:
        unknown_names = ', '.join(sorted(unknown))
        raise ValueError(f'{_name(hint)} has no field {unknown_names}')
    return hint(
        **{
            names[name]: decode(hints[names[name]], encoded[name])
            for name in names
            if name in encoded
        },
    )


def _decode_scalar(hint: type, encoded: Any) -> Any:
    accepted = (int, float) if hint is float else hint
    is_unexpected_bool = isinstance(encoded, bool) and hint is not bool
    if is_unexpected_bool or not isinstance(encoded, accepted):
        raise TypeError(f'{encoded!r} is not of type {_name(hint)}')
    return encoded


@cache
def _hints(hint: Any) -> Mapping[str, Any]:
    return get_type_hints(hint)


@cache
def _field_names(hint: Any) -> Mapping[str, str]:
    """Return the names of the fields by their serialized names."""
    return {serialized_field_name(field): field.name for field in fields(hint)}


def _name(hint: Any) -> str:
    if isinstance(hint, type):
        return serialized_type_name(hint)
    return str(getattr(hint, '__name__', hint))
