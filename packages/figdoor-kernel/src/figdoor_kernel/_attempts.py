"""The life of one attempt as a state machine.

Illegal transitions cannot happen: an input that a state does not know raises
``automat.NoTransition``.
"""

from dataclasses import dataclass
from functools import partial
from typing import Any, Protocol

from automat import TypeMachineBuilder

from figdoor_kernel._states import AttemptState, Outcome


class AttemptMachine(Protocol):
    """Inputs of the machine, named after what the transport saw."""

    def send(self) -> None:
        """Note that the first byte is about to leave for the upstream."""

    def begin_response(self) -> None:
        """Note that the head of the answer arrived."""

    def complete(self) -> None:
        """Note that the whole answer arrived."""

    def shed(self) -> None:
        """Note that the upstream refused by its agreed mark."""

    def fail_unsent(self) -> None:
        """Note that no byte left for the upstream and none will."""

    def lose(self) -> None:
        """Note that the request was sent and its end is not known."""


@dataclass(slots=True)
class AttemptRecord:
    """What an attempt remembers: its current state."""

    state: AttemptState = AttemptState.UNSENT


_OUTCOMES = {
    AttemptState.ANSWERED: Outcome.ANSWERED,
    AttemptState.SHED: Outcome.NOT_RUN,
    AttemptState.UNSENT_FAILURE: Outcome.NOT_RUN,
    AttemptState.LOST: Outcome.UNKNOWN,
}


def outcome_of(state: AttemptState) -> Outcome | None:
    """Return what an ended attempt means to the caller, ``None`` before."""
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
        step = states[source].upon(signal).to(states[target])
        step(partial(_record, target))
    return builder.build()


def _record(
    target: AttemptState,
    life: AttemptMachine,
    core: AttemptRecord,
) -> None:
    core.state = target


_machine = _build_machine()


def start_attempt(record: AttemptRecord) -> AttemptMachine:
    """Return a machine in state ``unsent`` that keeps ``record`` current."""
    return _machine(record)  # type: ignore[no-any-return]
