"""Passes on the part of a body that arrives after its call has begun."""

from typing import TYPE_CHECKING

from figdoor_gateway.frontend._request import CallerRequest
from figdoor_gateway.protocols import Sending

if TYPE_CHECKING:
    from figdoor_gateway.frontend._connection import CallerConnection


class Upload:
    """Reads the caller's body only as fast as the upstream takes it.

    Nothing more is read until an upstream has been sent the first part, so
    that what is held stays bounded while attempts are being made.
    """

    def __init__(
        self,
        connection: 'CallerConnection',
        request: CallerRequest,
    ) -> None:
        """Take over the rest of the body and read nothing for now."""
        self.sending: Sending | None = None
        self._connection = connection
        self._is_over = False
        self._held = bytearray()
        request.on_data = self._on_data
        request.on_end = self._on_end
        connection.pause_upload()

    def take_held(self) -> bytes:
        """Return what came between two attempts."""
        held = bytes(self._held)
        self._held.clear()
        return held

    def end(self) -> None:
        """Drop whatever still comes."""
        self._is_over = True
        self.sending = None

    def pause_body(self) -> None:
        """Slow the caller down, because the upstream reads slowly."""
        if not self._is_over:
            self._connection.pause_upload()

    def resume_body(self) -> None:
        """Let the caller go on."""
        if not self._is_over:
            self._connection.resume_upload()

    def _on_data(self, data: bytes) -> None:
        if self._is_over:
            return
        if self.sending is None:
            self._held += data
        else:
            self.sending.send_body(data)

    def _on_end(self) -> None:
        if self.sending is not None:
            self.sending.finish_body()
