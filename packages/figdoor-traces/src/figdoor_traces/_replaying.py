"""Replay of a trace against the decision plug-ins, on a virtual clock."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from automat import NoTransition

from figdoor_kernel import (
    AttemptResult,
    Dispatcher,
    Exchange,
    Finding,
    Place,
    PluginError,
    Refusal,
)
from figdoor_traces._choices import RecordedChoices, ReplayChooser
from figdoor_traces._codec import decode
from figdoor_traces._format import Action, Line, Trace
from figdoor_traces._inputs import Inputs, read_call
from figdoor_traces._nodes import VirtualClock, build_node, start_services
from figdoor_traces._statements import Facts, compare, describe_step

_CALL = 'call'


@dataclass(slots=True)
class ReplayResult:
    """The result of a replay.

    ``checked`` is the number of statements that were compared. ``mismatches``
    are statements that do not hold. ``errors`` are lines that could not be
    replayed; the replay stops at the first one.
    """

    checked: int = 0
    mismatches: list[Finding] = field(default_factory=list)
    errors: list[Finding] = field(default_factory=list)


def replay(trace: Trace) -> ReplayResult:
    """Replay a trace and compare each statement with what the node did."""
    result = ReplayResult()
    try:
        session = _ReplaySession(trace)
    except PluginError as error:
        result.errors.append(Finding(Place(trace.source, 1), str(error)))
        return result
    for line in trace.lines:
        try:
            facts = session.execute(line)
        except NoTransition as error:
            message = f'cannot happen to an attempt in this state: {error}'
            place = Place(trace.source, line.number)
            result.mismatches.append(Finding(place, message))
            break
        except (KeyError, TypeError, ValueError) as error:
            place = Place(trace.source, line.number)
            result.errors.append(Finding(place, repr(error)))
            break
        result.checked += len(line.expected)
        result.mismatches.extend(compare(trace.source, line, facts))
    return result


class _ReplaySession:
    """A node under replay and its open calls."""

    def __init__(self, trace: Trace) -> None:
        header = trace.header
        self._clock = VirtualClock()
        self._choices = RecordedChoices()
        self._calls: dict[str, Exchange] = {}
        node = build_node(header, self._clock, self._choices)
        self._dispatcher = Dispatcher(node)
        if header.recorded:
            self._dispatcher.chooser = ReplayChooser(
                self._dispatcher.chooser,
                self._choices,
            )
        start_services(node)
        inputs = Inputs(node)
        self._actions: Mapping[Action, Callable[[Line], Facts]] = {
            Action.TABLES: inputs.offer_tables,
            Action.VMS: inputs.read_vms,
            Action.EVENT: inputs.publish,
            Action.CALL: self._open,
            Action.NEXT_STEP: self._next_step,
            Action.CONFIRM_SEND: self._confirm_send,
            Action.BEGIN_ANSWER: self._begin_answer,
            Action.END: self._end,
            Action.ABANDON: self._abandon,
            Action.CLOSED: self._close,
            Action.IN_FORCE: inputs.in_force,
            Action.STOPPED: lambda _: {},
        }

    def execute(self, line: Line) -> Facts:
        """Execute a line; return the facts that its statements can name."""
        self._clock.at_ms = line.at_ms
        self._choices.read_line(line.expected)
        return self._actions[line.action](line)

    def _open(self, line: Line) -> Facts:
        fields = dict(line.fields)
        name = fields.pop(_CALL)
        call = read_call(fields)
        exchange = self._dispatcher.open(call, line.at_ms, _do_nothing)
        self._calls[name] = exchange
        routed = exchange.routed
        return {'route': routed.route.name if routed else None}

    def _next_step(self, line: Line) -> Facts:
        exchange = self._exchange(line)
        return describe_step(exchange.next_step(line.at_ms), self._choices)

    def _confirm_send(self, line: Line) -> Facts:
        return {'confirmed': self._exchange(line).confirm_send(line.at_ms)}

    def _begin_answer(self, line: Line) -> Facts:
        self._exchange(line).begin_response()
        return {}

    def _end(self, line: Line) -> Facts:
        fields = dict(line.fields)
        exchange = self._calls[fields.pop(_CALL)]
        exchange.end(decode(AttemptResult, fields), line.at_ms)
        return {}

    def _abandon(self, line: Line) -> Facts:
        self._exchange(line).abandon(line.at_ms)
        return {}

    def _close(self, line: Line) -> Facts:
        """Return the outcome of a call; an open one gets its next step first.

        A recording shows the refusal ``deadline`` both for a caller that
        disconnected while its call waited and for a deadline that passed, so
        both are replayed by abandoning the call.
        """
        exchange = self._exchange(line)
        if line.expected.get('refusal') == Refusal.DEADLINE.value:
            exchange.abandon(line.at_ms)
        step = exchange.next_step(line.at_ms)
        self._calls.pop(line.fields[_CALL])
        return describe_step(step, self._choices)

    def _exchange(self, line: Line) -> Exchange:
        return self._calls[line.fields[_CALL]]


def _do_nothing() -> None:
    """Ignore the wake-up of a waiting call; the trace has its next step."""
