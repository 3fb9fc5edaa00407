"""Writer of trace lines with a limit on the total size."""

import json
from collections.abc import Callable, Mapping
from typing import Any

from figdoor_kernel import Clock
from figdoor_traces._format import Action

# Reserved for the last line, which states that the recorder stopped.
STOP_LINE_BYTES = 64


class BoundedWriter:
    """Writes lines and stops permanently before the limit is exceeded."""

    def __init__(
        self,
        write: Callable[[str], None],
        max_bytes: float,
        clock: Clock,
    ) -> None:
        """Create a writer that passes each line to ``write``."""
        self._write_text = write
        self._bytes_left = max_bytes - STOP_LINE_BYTES
        self._clock = clock
        self.is_stopped = False

    def write(self, record: Mapping[str, Any]) -> None:
        """Write a line, or the stop line if it would exceed the limit."""
        if self.is_stopped:
            return
        text = _render(record)
        self._bytes_left -= len(text)
        if self._bytes_left < 0:
            self.is_stopped = True
            at_ms = self._clock.now_ms()
            text = _render({'at_ms': at_ms, 'do': Action.STOPPED.value})
        self._write_text(text)


def _render(record: Mapping[str, Any]) -> str:
    """Return a line of ASCII characters, so that its length is in bytes."""
    line = json.dumps(record, separators=(',', ':'))
    return f'{line}\n'
