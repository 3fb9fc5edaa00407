"""Limit on what an HTTP parser buffers outside of bodies."""


class FramingLimit:
    """Counts the bytes received since the last part of a body.

    The parser collects a head, a trailer or a chunk extension until it is
    complete, however long it is, and appending to it takes quadratic time.
    Interim responses count as a part of the head that follows::

        limit = FramingLimit(16_384)
        parser.feed_data(data)  # calls ``limit.note_body`` for a part of a body
        if not limit.fits(len(data)):
            transport.abortConnection()
    """

    __slots__ = ('_has_body', '_max_bytes', '_received_bytes')

    def __init__(self, max_bytes: float) -> None:
        """Start before the head of the first response."""
        self._max_bytes = max_bytes
        self._received_bytes = 0
        self._has_body = False

    def reset(self) -> None:
        """Start over before the head of another response."""
        self._received_bytes = 0
        self._has_body = False

    def note_body(self) -> None:
        """Record that the data being parsed contains a part of the body."""
        self._has_body = True

    def fits(self, received_bytes: int) -> bool:
        """Return whether the connection may go on after so many bytes more."""
        if self._has_body:
            self._has_body = False
            self._received_bytes = 0
            return True
        self._received_bytes += received_bytes
        return self._received_bytes <= self._max_bytes
