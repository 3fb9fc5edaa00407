"""Decides who waits, who goes first and who is refused when room is short.

What a delay or a refusal costs a caller follows from the priority of its call,
from the time that is left until its objective and its deadline, and from the
work that it needs. Calls that lose least by a wait give way to those that lose
most. The decisions use fresh load reports and the calls of this node only.
"""

from figdoor_decisions.overload._queue import MAX_WAITING, WaitingCalls
from figdoor_decisions.overload._room import RecentKinds, Room
from figdoor_decisions.overload._urgency import Urgency, UrgencySource
from figdoor_decisions.overload._waiting import WaitLimits
from figdoor_kernel import Extension, Registry

__all__ = (
    'MAX_WAITING',
    'RecentKinds',
    'Room',
    'Urgency',
    'UrgencySource',
    'WaitLimits',
    'WaitingCalls',
    'register',
)


def register(registry: Registry) -> None:
    """Provide the queue of waiting calls and the rules that order it."""
    registry.provide(Extension.CALL_QUEUE, 'waiting-calls', WaitingCalls)
    registry.provide(Extension.SERVICE, 'recent-kinds', RecentKinds)
    registry.provide(Extension.SERVICE, 'wait-limits', WaitLimits)
