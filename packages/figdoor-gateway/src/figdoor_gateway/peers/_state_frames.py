"""Requests and answers for the state of a node over TCP, as Cap'n Proto.

They share the port and the structs of the requests for items, since a node
accepts one kind of request there.
"""

import math
from typing import Any

import capnp

from figdoor_gateway.peers._schema import MalformedMessage, schema
from figdoor_gateway.peers._vm_rows import checked_text
from figdoor_kernel import (
    Fingerprint,
    InstanceId,
    NodeId,
    ObservedCrash,
    RouteName,
    SuspectedRequest,
    TransferredState,
    UpstreamDraining,
    UpstreamId,
)

_NOT_CLEARED = -1.0


def encode_state_request(sender: NodeId) -> bytes:
    """Return the frame of a request."""
    frame = schema.ItemsRequest.new_message(sender=sender, wantsState=True)
    encoded: bytes = frame.to_bytes_packed()
    return encoded


def is_state_request(frame: bytes) -> bool:
    """Return whether a request asks for state; raises ``MalformedMessage``."""
    try:
        wants: bool = schema.ItemsRequest.from_bytes_packed(frame).wantsState
    except (capnp.KjException, ValueError) as error:
        raise MalformedMessage(str(error)) from error
    return wants


def encode_state(state: TransferredState) -> bytes:
    """Return the frame of an answer."""
    frame = schema.ItemsAnswer.new_message(
        state={
            'suspects': list(map(_encode_suspect, state.suspects)),
            'leaving': [
                {'upstream': row.upstream, 'instance': row.instance}
                for row in state.leaving
            ],
            'isSettled': state.is_settled,
        },
    )
    encoded: bytes = frame.to_bytes_packed()
    return encoded


def decode_state(frame: bytes) -> TransferredState:
    """Return the state; raises ``MalformedMessage``."""
    try:
        answer: Any = schema.ItemsAnswer.from_bytes_packed(frame)
        return _decode_state(answer.state)
    except (capnp.KjException, ValueError) as error:
        raise MalformedMessage(str(error)) from error


def _encode_suspect(suspect: SuspectedRequest) -> dict[str, Any]:
    cleared_age_ms = suspect.cleared_age_ms
    return {
        'route': suspect.route,
        'fingerprint': suspect.fingerprint,
        'crashes': [
            {
                'upstream': crash.upstream,
                'instance': crash.instance,
                'ageMs': crash.age_ms,
            }
            for crash in suspect.crashes
        ],
        'clearedAgeMs': (
            _NOT_CLEARED if cleared_age_ms is None else cleared_age_ms
        ),
    }


def _decode_state(state: Any) -> TransferredState:
    return TransferredState(
        tuple(map(_decode_suspect, state.suspects)),
        tuple(
            UpstreamDraining(
                UpstreamId(checked_text(row.upstream)),
                InstanceId(checked_text(row.instance)),
            )
            for row in state.leaving
        ),
        state.isSettled,
    )


def _decode_suspect(row: Any) -> SuspectedRequest:
    is_cleared = row.clearedAgeMs != _NOT_CLEARED
    return SuspectedRequest(
        RouteName(checked_text(row.route)),
        Fingerprint(row.fingerprint),
        tuple(
            ObservedCrash(
                UpstreamId(checked_text(crash.upstream)),
                InstanceId(checked_text(crash.instance)),
                _checked_age_ms(crash.ageMs),
            )
            for crash in row.crashes
        ),
        _checked_age_ms(row.clearedAgeMs) if is_cleared else None,
    )


def _checked_age_ms(age_ms: float) -> float:
    if age_ms < 0 or not math.isfinite(age_ms):
        raise MalformedMessage('age is negative or not finite')
    return age_ms
