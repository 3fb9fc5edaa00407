"""Names of types and fields in traces, datagrams and metric labels.

A class attribute ``serialized_name``, or the entry ``serialized_name`` in the
metadata of a field, sets the name that is stored or sent. It allows a class
or field to be renamed in the code without a change of the format.
"""

from collections.abc import Mapping
from dataclasses import Field
from typing import Any

SERIALIZED_NAME = 'serialized_name'
_IS_RECORDED = 'is_recorded'
# Metadata of a field that traces leave out, because it holds keys of callers or
# digests of them.
NOT_RECORDED: Mapping[str, bool] = {_IS_RECORDED: False}


def serialized_type_name(value_type: type) -> str:
    """Return the name under which values of a type are serialized."""
    name: str = getattr(value_type, SERIALIZED_NAME, value_type.__name__)
    return name


def serialized_field_name(field: 'Field[Any]') -> str:
    """Return the name under which a field is serialized."""
    name: str = field.metadata.get(SERIALIZED_NAME, field.name)
    return name


def is_recorded_field(field: 'Field[Any]') -> bool:
    """Return whether a trace contains the field."""
    return bool(field.metadata.get(_IS_RECORDED, True))
