"""The life of an upstream in the eyes of one node, as a state machine.

Illegal transitions cannot happen: an input that a state does not know raises
``automat.NoTransition``.
"""

from dataclasses import dataclass
from functools import partial
from typing import Any, Protocol

from automat import TypeMachineBuilder

from figdoor_kernel import UpstreamState


class UpstreamLife(Protocol):
    """Inputs of the machine, named after what the node learned."""

    def answer(self) -> None:
        """Note an answer of an instance that nobody vouches for."""

    def vouch(self) -> None:
        """Note that the connected instance is known to be warm."""

    def lose_sight(self) -> None:
        """Note that the last connection closed: it may be replaced."""

    def turn_cold(self) -> None:
        """Note that its warmth is lost or no longer known."""

    def drain(self) -> None:
        """Note that it says it leaves."""

    def leave(self) -> None:
        """Note that it or its availability zone left service."""

    def come_back(self) -> None:
        """Note that it is in service again."""


@dataclass(slots=True)
class LifeRecord:
    """What the machine keeps current."""

    state: UpstreamState = UpstreamState.COLD


_COLD = UpstreamState.COLD
_WARMING = UpstreamState.WARMING
_SERVING = UpstreamState.SERVING
_SUSPECT = UpstreamState.SUSPECT
_DRAINING = UpstreamState.DRAINING
_GONE = UpstreamState.GONE
_LISTED = (_COLD, _WARMING, _SERVING, _SUSPECT, _DRAINING)

_TRANSITIONS: tuple[tuple[UpstreamState, Any, UpstreamState], ...] = (
    *((state, UpstreamLife.leave, _GONE) for state in _LISTED),
    *((state, UpstreamLife.turn_cold, _COLD) for state in _LISTED),
    *((state, UpstreamLife.drain, _DRAINING) for state in _LISTED),
    (_GONE, UpstreamLife.come_back, _COLD),
    (_COLD, UpstreamLife.answer, _WARMING),
    (_WARMING, UpstreamLife.answer, _WARMING),
    (_SERVING, UpstreamLife.answer, _SERVING),
    (_SUSPECT, UpstreamLife.answer, _WARMING),
    (_DRAINING, UpstreamLife.answer, _DRAINING),
    # Warmth is proved by an answer over a connection that is still open, so
    # a cold or suspect upstream cannot be vouched for before it answers.
    (_WARMING, UpstreamLife.vouch, _SERVING),
    (_SERVING, UpstreamLife.vouch, _SERVING),
    (_COLD, UpstreamLife.lose_sight, _COLD),
    (_WARMING, UpstreamLife.lose_sight, _COLD),
    (_SERVING, UpstreamLife.lose_sight, _SUSPECT),
    (_SUSPECT, UpstreamLife.lose_sight, _SUSPECT),
    (_DRAINING, UpstreamLife.lose_sight, _DRAINING),
)


def _record(
    target: UpstreamState,
    life: UpstreamLife,
    core: LifeRecord,
) -> None:
    core.state = target


def _build_machine() -> Any:
    builder = TypeMachineBuilder(UpstreamLife, LifeRecord)
    states = {state: builder.state(state.value) for state in UpstreamState}
    for source, signal, target in _TRANSITIONS:
        step = states[source].upon(signal).to(states[target])
        step(partial(_record, target))
    return builder.build()


_machine = _build_machine()


def start_life(record: LifeRecord) -> UpstreamLife:
    """Return a machine in state ``cold`` that keeps ``record`` current."""
    return _machine(record)  # type: ignore[no-any-return]
