"""Refusal of a request by its head, before its body is read."""

from typing import TYPE_CHECKING

from figdoor_gateway.frontend._reader import RequestReader

if TYPE_CHECKING:
    from figdoor_gateway.frontend._server import HttpFrontEnd


def has_refused_head(front_end: 'HttpFrontEnd', reader: RequestReader) -> bool:
    """Return whether the next request is refused whatever its body is.

    Each request is checked once, when it is the next one. Its call checks the
    key again once the body is complete.
    """
    request = reader.next_request
    if request is None or request.is_head_checked or reader.error is not None:
        return False
    request.is_head_checked = True
    if request.body_complete:
        return False
    call = request.as_call(front_end.dialect)
    return front_end.dispatcher.has_unknown_key(call)
