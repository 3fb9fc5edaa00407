"""Writes a trace of bounded size to the configured file."""

import os
from collections.abc import Callable
from typing import TextIO

from loguru import logger

import figdoor_traces
from figdoor_kernel import FigdoorError, Node, Tick

FLUSH_INTERVAL_MS = 1000
_OWNER_ONLY = 0o600
_OPEN_FLAGS = os.O_WRONLY | os.O_CREAT | os.O_TRUNC


class TraceFileError(FigdoorError):
    """The trace file cannot be written."""


class TraceFile:
    """Records from the node's start to its stop, or to the size limit.

    Nothing is recorded if the setting ``trace_file`` is empty. A write error
    ends the recording; the node continues.
    """

    def __init__(self, node: Node) -> None:
        """Open the file, so that a wrong path fails before the start."""
        self._file: TextIO | None = None
        self._flushed_ms: float = 0
        path = node.settings.trace_file
        if not path:
            return
        try:
            descriptor = os.open(path, _OPEN_FLAGS, _OWNER_ONLY)
        except OSError as error:
            raise TraceFileError(f'--trace_file: {error}') from error
        self._file = os.fdopen(descriptor, 'w', encoding='ascii')
        figdoor_traces.Recorder(
            node, self._write, node.settings.trace_max_bytes
        )
        node.events.subscribe(Tick, self._on_tick)

    def start(self) -> None:
        """Do nothing; recording begins when the part is built."""

    def stop(self) -> None:
        """Close the file; nothing is recorded afterwards."""
        trace_file = self._file
        self._file = None
        if trace_file is not None:
            _try_write(trace_file.close)

    def _write(self, text: str) -> None:
        if self._file is not None and not _try_write(self._file.write, text):
            self._file = None

    def _on_tick(self, event: Tick) -> None:
        if event.now_ms - self._flushed_ms < FLUSH_INTERVAL_MS:
            return
        self._flushed_ms = event.now_ms
        if self._file is not None and not _try_write(self._file.flush):
            self._file = None


def _try_write(write: Callable[..., object], *texts: str) -> bool:
    """Return whether a write succeeded; log the error if not."""
    try:
        write(*texts)
    except OSError as error:
        logger.error('cannot write trace file, recording ends: {!r}', error)
        return False
    return True
