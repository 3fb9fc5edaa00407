"""The state machine of one attempt.

An input that the current state does not accept raises
``automat.NoTransition``.
"""

from dataclasses import dataclass
from functools import partial
from typing import Any, Protocol

from automat import TypeMachineBuilder

from figdoor_kernel._states import AttemptState, Outcome


class AttemptMachine(Protocol):
    """Inputs of the state machine; each reports what the transport observed."""

    def send(self) -> None:
        """Record that the first byte is about to be sent to the upstream."""

    def begin_response(self) -> None:
        """Record that the head of the response arrived."""

    def complete(self) -> None:
        """Record that the whole response arrived."""

    def shed(self) -> None:
        """Record that the upstream declared that it shed the request."""

    def fail_unsent(self) -> None:
        """Record that no byte was sent and none will be."""

    def lose(self) -> None:
        """Record that the request was sent and its result is unknown."""


@dataclass(slots=True)
class AttemptRecord:
    """Holds the current state of an attempt."""

    state: AttemptState = AttemptState.UNSENT


_OUTCOMES = {
    AttemptState.ANSWERED: Outcome.ANSWERED,
    AttemptState.SHED: Outcome.NOT_RUN,
    AttemptState.UNSENT_FAILURE: Outcome.NOT_RUN,
    AttemptState.LOST: Outcome.UNKNOWN,
}


def outcome_of(state: AttemptState) -> Outcome | None:
    """Return the outcome of an ended attempt, ``None`` if it has not ended."""
    return _OUTCOMES.get(state)


def _build_machine() -> Any:
    builder = TypeMachineBuilder(AttemptMachine, AttemptRecord)
    states = {state: builder.state(state.value) for state in AttemptState}
    transitions = (
        (AttemptState.UNSENT, AttemptMachine.send, AttemptState.SENT),
        (
            AttemptState.UNSENT,
            AttemptMachine.fail_unsent,
            AttemptState.UNSENT_FAILURE,
        ),
        (
            AttemptState.SENT,
            AttemptMachine.begin_response,
            AttemptState.ANSWERING,
        ),
        (AttemptState.SENT, AttemptMachine.shed, AttemptState.SHED),
        (AttemptState.SENT, AttemptMachine.lose, AttemptState.LOST),
        (
            AttemptState.ANSWERING,
            AttemptMachine.complete,
            AttemptState.ANSWERED,
        ),
        (AttemptState.ANSWERING, AttemptMachine.lose, AttemptState.LOST),
    )
    for source, signal, target in transitions:
        transition = states[source].upon(signal).to(states[target])
        transition(partial(_set_state, target))
    return builder.build()


def _set_state(
    target: AttemptState,
    machine: AttemptMachine,
    record: AttemptRecord,
) -> None:
    record.state = target


_machine = _build_machine()


def start_attempt(record: AttemptRecord) -> AttemptMachine:
    """Return a machine in state ``unsent`` that updates ``record``."""
    return _machine(record)  # type: ignore[no-any-return]
