"""Inputs of a trace that do not belong to a single call."""

from collections.abc import Mapping
from dataclasses import replace
from importlib import import_module
from inspect import getmembers
from typing import Any

from figdoor_kernel import (
    Call,
    Extension,
    Node,
    Revision,
    TablesOffered,
    VmList,
    VmListChanged,
    serialized_type_name,
)
from figdoor_traces._codec import decode, digest_of_number
from figdoor_traces._format import Line
from figdoor_traces._statements import Facts

_EVENT_MODULES = (
    'figdoor_kernel._events',
    'figdoor_kernel._call_events',
    'figdoor_kernel._node_events',
    'figdoor_kernel._peer_events',
    'figdoor_kernel._state_transfer',
)
_EVENT_TYPES: Mapping[str, Any] = {
    serialized_type_name(event_type): event_type
    for _, event_type in getmembers(import_module('figdoor_kernel'))
    if getattr(event_type, '__module__', '') in _EVENT_MODULES
}
_ATTRIBUTES = 'attributes'
_CALL_DEFAULTS: Mapping[str, Any] = {
    'authority': 'any.example',
    'path': '/',
    'fingerprint': 1,
}
_VM_DEFAULTS: Mapping[str, Any] = {'host': '127.0.0.1', 'port': 1}


class Inputs:
    """Publishes the events of the platform, the peers and the clock."""

    def __init__(self, node: Node) -> None:
        """Create the inputs of a node, with an empty VM list."""
        self._node = node
        self._vm_list = VmList()

    def offer_tables(self, line: Line) -> Facts:
        """Publish a revision of the tables."""
        self._node.events.publish(
            TablesOffered(
                Revision(line.fields['revision']),
                _join(line.fields['routes']),
                _join(line.fields['pools']),
                line.at_ms,
                _join(line.fields.get('tenants', '')),
            ),
        )
        return {}

    def read_vms(self, line: Line) -> Facts:
        """Publish the line's VM list, or the previous one if it has none."""
        if 'vms' in line.fields:
            rows = [{**_VM_DEFAULTS, **row} for row in line.fields['vms']]
            self._vm_list = decode(VmList, {'vms': rows})
        event = VmListChanged(self._vm_list, line.at_ms)
        self._node.events.publish(event)
        return {}

    def publish(self, line: Line) -> Facts:
        """Publish any other kernel event, by its serialized name."""
        fields = dict(line.fields)
        name = fields.pop('event')
        event_type = _EVENT_TYPES.get(name)
        if event_type is None:
            raise ValueError(f'unknown event {name!r}')
        if 'now_ms' in event_type.__dataclass_fields__:
            fields['now_ms'] = line.at_ms
        self._node.events.publish(decode(event_type, fields))
        return {}

    def in_force(self, line: Line) -> Facts:
        """Return the facts about the tables that a statement can name."""
        acceptance = self._node.part(Extension.SERVICE, 'acceptance')
        return {
            'revision': self._node.revision,
            'refused_revision': acceptance.refused_revision,
            'findings': [str(finding) for finding in acceptance.findings],
        }


def read_call(fields: Mapping[str, Any]) -> Call:
    """Return a call; fields that a trace leaves out get defaults."""
    call_fields = {**_CALL_DEFAULTS, **fields}
    attributes = call_fields.pop(_ATTRIBUTES, {})
    key = call_fields.pop('key', None)
    call: Call = decode(Call, call_fields)
    digest = None if key is None else digest_of_number(key)
    return replace(call, attributes=attributes, key_digest=digest)


def _join(text: str | list[str]) -> str:
    return text if isinstance(text, str) else '\n'.join(text)
