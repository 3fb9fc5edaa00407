"""Start of the requests of a connection, in order."""

from typing import TYPE_CHECKING

from figdoor_gateway.frontend._head_check import has_refused_head
from figdoor_gateway.frontend._proxying import ProxiedCall

if TYPE_CHECKING:
    from figdoor_gateway.frontend._connection import CallerConnection


def can_start_next(connection: 'CallerConnection') -> bool:
    """Return whether the next request is ready, or refused by its head."""
    reader = connection.reader
    return reader.is_next_ready() or has_refused_head(
        connection.front_end, reader
    )


def start_call(connection: 'CallerConnection') -> None:
    """Start the next request; close the connection if it cannot be opened."""
    try:
        call = ProxiedCall(connection, connection.reader.take())
    except Exception as error:
        # The call could not be opened, so nothing can answer it.
        connection.front_end.report_error(error)
        connection.close()
    else:
        connection.call = call
        call.start()


def parse_waiting(connection: 'CallerConnection') -> None:
    """Parse what waited for room in the queue, with the limits in force."""
    reader = connection.reader
    if reader.has_unparsed:
        reader.set_limits(connection.front_end.settings)
        reader.parse_waiting()
        reject_invalid_body(connection)


def reject_invalid_body(connection: 'CallerConnection') -> None:
    """End the request in progress if an error was found in its body."""
    error = connection.reader.error
    if connection.call is not None and error is not None:
        connection.call.reject_body(error)
