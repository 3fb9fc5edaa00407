"""Lines of a trace, written until a limit of bytes is reached."""

import json
from collections.abc import Callable, Mapping
from typing import Any

from figdoor_kernel import Clock
from figdoor_traces._format import Action

# Room for the line that says that the recorder stopped.
STOP_LINE_BYTES = 64


class BoundedWriter:
    """Writes lines; stops for good before the limit is exceeded."""

    def __init__(
        self,
        write: Callable[[str], None],
        max_bytes: float,
        clock: Clock,
    ) -> None:
        """Hand each line to ``write``."""
        self._write_text = write
        self._bytes_left = max_bytes - STOP_LINE_BYTES
        self._clock = clock
        self.is_stopped = False

    def write(self, told: Mapping[str, Any]) -> None:
        """Write one line, or the last one that says that no more follow."""
        if self.is_stopped:
            return
        text = _render(told)
        self._bytes_left -= len(text)
        if self._bytes_left < 0:
            self.is_stopped = True
            at_ms = self._clock.now_ms()
            text = _render({'at_ms': at_ms, 'do': Action.STOPPED.value})
        self._write_text(text)


def _render(told: Mapping[str, Any]) -> str:
    """Return a line of ASCII characters only, so that each is one byte."""
    line = json.dumps(told, separators=(',', ':'))
    return f'{line}\n'
