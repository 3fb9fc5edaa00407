"""The state machine of an upstream as one node sees it.

An input that the current state does not accept raises
``automat.NoTransition``.
"""

from dataclasses import dataclass
from functools import partial
from typing import Any, Protocol

from automat import TypeMachineBuilder

from figdoor_kernel import UpstreamState


class UpstreamStateMachine(Protocol):
    """Inputs of the machine."""

    def answer(self) -> None:
        """Note an answer, which alone does not show that it is warm."""

    def confirm_warm(self) -> None:
        """Note that the connected instance is known to be warm."""

    def disconnect(self) -> None:
        """Note that no connection is left, so it may be replaced unseen."""

    def turn_cold(self) -> None:
        """Note that it is cold, or that its evidence has expired."""

    def drain(self) -> None:
        """Note that it reported that it drains."""

    def leave_service(self) -> None:
        """Note that it or its availability zone is no longer in service."""

    def return_to_service(self) -> None:
        """Note that it is in service again."""


@dataclass(slots=True)
class CurrentState:
    """The state that the machine keeps up to date."""

    state: UpstreamState = UpstreamState.COLD


_COLD = UpstreamState.COLD
_WARMING = UpstreamState.WARMING
_SERVING = UpstreamState.SERVING
_SUSPECT = UpstreamState.SUSPECT
_DRAINING = UpstreamState.DRAINING
_GONE = UpstreamState.GONE
_IN_SERVICE = (_COLD, _WARMING, _SERVING, _SUSPECT, _DRAINING)

_TRANSITIONS: tuple[tuple[UpstreamState, Any, UpstreamState], ...] = (
    *(
        (state, UpstreamStateMachine.leave_service, _GONE)
        for state in _IN_SERVICE
    ),
    *((state, UpstreamStateMachine.turn_cold, _COLD) for state in _IN_SERVICE),
    *((state, UpstreamStateMachine.drain, _DRAINING) for state in _IN_SERVICE),
    (_GONE, UpstreamStateMachine.return_to_service, _COLD),
    (_COLD, UpstreamStateMachine.answer, _WARMING),
    (_WARMING, UpstreamStateMachine.answer, _WARMING),
    (_SERVING, UpstreamStateMachine.answer, _SERVING),
    (_SUSPECT, UpstreamStateMachine.answer, _WARMING),
    (_DRAINING, UpstreamStateMachine.answer, _DRAINING),
    # Only an answer over a connection that is still open shows that this
    # instance is the warm one, so a cold or suspect upstream cannot serve
    # before it answers.
    (_WARMING, UpstreamStateMachine.confirm_warm, _SERVING),
    (_SERVING, UpstreamStateMachine.confirm_warm, _SERVING),
    (_COLD, UpstreamStateMachine.disconnect, _COLD),
    (_WARMING, UpstreamStateMachine.disconnect, _COLD),
    (_SERVING, UpstreamStateMachine.disconnect, _SUSPECT),
    (_SUSPECT, UpstreamStateMachine.disconnect, _SUSPECT),
    (_DRAINING, UpstreamStateMachine.disconnect, _DRAINING),
)


def _set_state(
    target: UpstreamState,
    machine: UpstreamStateMachine,
    current: CurrentState,
) -> None:
    current.state = target


def _build_machine() -> Any:
    builder = TypeMachineBuilder(UpstreamStateMachine, CurrentState)
    states = {state: builder.state(state.value) for state in UpstreamState}
    for source, accepted_input, target in _TRANSITIONS:
        transition = states[source].upon(accepted_input).to(states[target])
        transition(partial(_set_state, target))
    return builder.build()


_create_machine = _build_machine()


def start_machine(current: CurrentState) -> UpstreamStateMachine:
    """Return a machine in state ``cold`` that updates ``current``."""
    return _create_machine(current)  # type: ignore[no-any-return]
