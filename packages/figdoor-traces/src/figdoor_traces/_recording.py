"""Recorder, which writes the events of a running node as lines of a trace.

A trace contains no bodies, paths, authorities, header values or fingerprints
of callers. A call is recorded with the authority and path prefix of its
route, which match the same route again. Tenants that callers name, digests of
keys and fingerprints are replaced by numbers in order of first appearance.
"""

import re
from collections.abc import Callable, Mapping
from dataclasses import fields, replace
from typing import Any

from figdoor_kernel import (
    DIGEST_BYTES,
    AttemptEnded,
    AttemptSent,
    AttemptStarted,
    CallClosed,
    CallOpened,
    CallWaiting,
    Fingerprint,
    FloodedUpdate,
    KeyState,
    Node,
    PeerMessageReceived,
    RoutedCall,
    StateReceived,
    TablesOffered,
    UpstreamDied,
    VmList,
    VmListChanged,
)
from figdoor_traces._codec import KIND, digest_of_number, encode
from figdoor_traces._format import FORMAT_VERSION, Action
from figdoor_traces._seeding import TraceRandom, is_recorded
from figdoor_traces._writing import BoundedWriter

_KEY_DIGEST = re.compile(rf'\b[0-9a-f]{{{2 * DIGEST_BYTES}}}\b')


class Recorder:
    """Observes a node from its start and writes a line for each event.

    It stops permanently before the trace would exceed ``max_bytes``. A replay
    repeats the random draws if the node's generator is a ``TraceRandom``.
    """

    def __init__(
        self,
        node: Node,
        write: Callable[[str], None],
        max_bytes: float,
    ) -> None:
        """Write the header and observe the events of the node."""
        self._node = node
        self._writer = BoundedWriter(write, max_bytes, node.clock)
        self._vm_list: VmList | None = None
        self._calls: dict[int, str] = {}
        self._call_count = 0
        self._tenants = _Numbers()
        self._fingerprints = _Numbers()
        self._keys = _Numbers()
        self._handlers: dict[type[Any], Callable[[Any], None]] = {
            CallOpened: self._on_opened,
            CallWaiting: self._on_waiting,
            AttemptStarted: self._on_started,
            AttemptSent: self._on_sent,
            AttemptEnded: self._on_ended,
            CallClosed: self._on_closed,
            TablesOffered: self._on_tables,
            VmListChanged: self._on_vm_list,
            PeerMessageReceived: self._on_peer_message,
            StateReceived: self._on_state,
        }
        self._writer.write(
            {
                'trace': FORMAT_VERSION,
                'node': node.node_id,
                'availability_zone': node.availability_zone,
                'seed': getattr(node.random, 'origin', 0),
                'recorded': True,
                'options': encode(node.options),
            },
        )
        node.events.observe(self._on_event)

    def _on_event(self, event: object) -> None:
        if self._writer.is_stopped or not is_recorded(event):
            return
        if isinstance(self._node.random, TraceRandom):
            self._node.random.reseed()
        handler = self._handlers.get(type(event), self._on_other)
        handler(event)

    def _on_other(self, event: Any) -> None:
        encoded = encode(event)
        encoded['event'] = encoded.pop(KIND)
        self._write(Action.EVENT, _time_of(event, self._node), encoded)

    def _on_peer_message(self, event: PeerMessageReceived) -> None:
        message = event.message
        if isinstance(message, FloodedUpdate):
            update = message.update
            if isinstance(update, UpstreamDied):
                number = self._fingerprints.of(update.fingerprint)
                update = replace(update, fingerprint=Fingerprint(number))
                message = replace(message, update=update)
                event = replace(event, message=message)
        self._on_other(event)

    def _on_state(self, event: StateReceived) -> None:
        suspects = tuple(
            replace(
                suspect,
                fingerprint=Fingerprint(
                    self._fingerprints.of(suspect.fingerprint)
                ),
            )
            for suspect in event.state.suspects
        )
        state = replace(event.state, suspects=suspects)
        self._on_other(replace(event, state=state))

    def _on_tables(self, event: TablesOffered) -> None:
        details: dict[str, Any] = {
            'revision': event.revision,
            'routes': event.routes_text.splitlines(),
            'pools': event.pools_text.splitlines(),
        }
        if event.tenants_text:
            text = _KEY_DIGEST.sub(self._number_digest, event.tenants_text)
            details['tenants'] = text.splitlines()
        self._write(Action.TABLES, event.now_ms, details)

    def _on_vm_list(self, event: VmListChanged) -> None:
        details = {}
        if event.vm_list != self._vm_list:
            self._vm_list = event.vm_list
            details['vms'] = encode(event.vm_list.vms)
        self._write(Action.VMS, event.now_ms, details)

    def _on_opened(self, event: CallOpened) -> None:
        routed = event.routed
        route = routed.route
        self._call_count += 1
        name = f'c{self._call_count}'
        self._calls[id(routed)] = name
        attributes = {}
        if route.tenant_attribute:
            number = self._tenants.of(routed.tenant)
            attributes[route.tenant_attribute] = f't{number}'
        details = {
            'call': name,
            'operation': routed.call.operation,
            'authority': route.authority,
            'path': route.path_prefix,
            'fingerprint': self._fingerprints.of(routed.call.fingerprint),
            'time_left_ms': routed.deadline_ms - event.now_ms,
            'replayable': routed.call.replayable,
            'attributes': attributes,
        }
        if routed.key_state is KeyState.KNOWN:
            details['key'] = self._keys.of(routed.call.key_digest)
        self._write(Action.CALL, event.now_ms, details)

    def _number_digest(self, match: re.Match[str]) -> str:
        """Return the digest that stands for another one in this trace."""
        number = self._keys.of(bytes.fromhex(match[0]))
        return digest_of_number(number).hex()

    def _on_waiting(self, event: CallWaiting) -> None:
        expected = {'step': 'wait', 'asked': list(event.asked)}
        self._write_statement(
            Action.NEXT_STEP, event.routed, event.now_ms, expected
        )

    def _on_started(self, event: AttemptStarted) -> None:
        expected = {
            'step': 'send',
            'upstream': event.upstream,
            'attempt_number': event.attempt_number,
        }
        self._write_statement(
            Action.NEXT_STEP, event.routed, event.now_ms, expected
        )

    def _on_sent(self, event: AttemptSent) -> None:
        expected = {'confirmed': True}
        self._write_statement(
            Action.CONFIRM_SEND, event.routed, event.now_ms, expected
        )

    def _on_ended(self, event: AttemptEnded) -> None:
        call = self._calls.get(id(event.routed), '')
        if event.answer_begun:
            self._write(Action.BEGIN_ANSWER, event.now_ms, {'call': call})
        details = {
            'call': call,
            'state': event.state.value,
            'failed': event.failed,
            'connection_died': event.connection_died,
            'final': event.final,
        }
        self._write(Action.END, event.now_ms, details)

    def _on_closed(self, event: CallClosed) -> None:
        call = self._calls.pop(id(event.routed), '')
        expected = {
            'outcome': event.outcome.value,
            'refusal': event.refusal.value if event.refusal else None,
        }
        details = {'call': call, 'expect': expected}
        self._write(Action.CLOSED, event.now_ms, details)

    def _write_statement(
        self,
        action: Action,
        routed: RoutedCall,
        now_ms: float,
        expected: Mapping[str, Any],
    ) -> None:
        call = self._calls.get(id(routed), '')
        self._write(action, now_ms, {'call': call, 'expect': expected})

    def _write(
        self,
        action: Action,
        at_ms: float,
        details: Mapping[str, Any],
    ) -> None:
        self._writer.write({'at_ms': at_ms, 'do': action.value, **details})


class _Numbers:
    """Assigns numbers to values in order of first appearance."""

    def __init__(self) -> None:
        self._numbers: dict[object, int] = {}

    def of(self, key: object) -> int:
        return self._numbers.setdefault(key, len(self._numbers) + 1)


def _time_of(event: Any, node: Node) -> float:
    """Return ``now_ms`` of an event, or the current time if it has none."""
    if any(field.name == 'now_ms' for field in fields(event)):
        return float(event.now_ms)
    return node.clock.now_ms()
