"""Handling of unexpected errors while a call is processed."""

from types import TracebackType
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from figdoor_gateway.frontend._proxying import ProxiedCall


class EndsCallOnError:
    """A context in which an unexpected error ends the call.

    What the event loop, a transport or a connection invokes runs in one.
    Without it, an error would leave the caller without an answer and the
    connection without its next request::

        with EndsCallOnError(call):
            call.on_body(data)
    """

    __slots__ = ('_call',)

    def __init__(self, call: 'ProxiedCall') -> None:
        """Guard this call."""
        self._call = call

    def __enter__(self) -> None:
        """Enter the context."""

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool:
        """End the call if there was an error.

        If its answer fails as well, the call is finished by then, and the
        second attempt closes the connection.
        """
        if not isinstance(error, Exception):
            return False
        try:
            self._call.fail(error)
        except Exception as second_error:
            self._call.fail(second_error)
        return True
