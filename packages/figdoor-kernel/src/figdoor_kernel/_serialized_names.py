"""Names of types and fields in traces, datagrams and metric labels.

A class attribute ``serialized_name``, or the entry of that name in the
metadata of a field, keeps a name that is stored or sent when the class or
field is renamed in the code.
"""

from dataclasses import Field
from typing import Any

SERIALIZED_NAME = 'serialized_name'


def serialized_type_name(value_type: type) -> str:
    """Return the name under which values of a type are written."""
    name: str = getattr(value_type, SERIALIZED_NAME, value_type.__name__)
    return name


def serialized_field_name(field: 'Field[Any]') -> str:
    """Return the name under which a field is written."""
    name: str = field.metadata.get(SERIALIZED_NAME, field.name)
    return name
