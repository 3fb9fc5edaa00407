"""Settings that are read again while the node runs."""

import os
from collections.abc import Callable
from dataclasses import fields
from typing import Any

from loguru import logger
from returns.result import Failure, Success

from figdoor_gateway.settings import ReadSettings, Settings, flag_file
from figdoor_kernel import Node, Options, Service, SettingsChanged, Tick

# A changed file is noticed within this time, with or without a signal.
CHECK_INTERVAL_MS = 1000.0
# Sockets and parts are built from these once.
FIXED = frozenset(
    (
        'node_id',
        'availability_zone',
        'listen',
        'operator_listen',
        'peer_listen',
        'platform_url',
        'deployment',
        'dialect',
        'chooser',
        'log_format',
        'log_level',
        'trace_file',
        'trace_max_bytes',
    ),
)


class SettingsReload(Service):
    """Reads the settings again on a signal and when their file changed.

    Settings with findings change nothing, and the last ones stay in force.
    """

    def __init__(self, node: Node) -> None:
        """Read nothing before ``use``."""
        self._node = node
        self._path = ''
        self._read: Callable[[], ReadSettings] | None = None
        self._make_options: Callable[[Settings], Options]
        self._mark: object = None
        self._next_check_ms = float('-inf')
        node.events.subscribe(Tick, self._on_tick)

    def use(
        self,
        arguments: list[str],
        read: Callable[[], ReadSettings],
        make_options: Callable[[Settings], Options],
    ) -> None:
        """Read settings by ``read``, which looks at these arguments."""
        self._make_options = make_options
        self._path = flag_file(arguments)
        self._read = read
        self._mark = self._file_mark()

    def reload(self) -> None:
        """Read the settings and take over those that may change."""
        if self._read is None:
            return
        self._mark = self._file_mark()
        match self._read():
            case Success(settings):
                self._take(settings)
            case Failure(findings):
                for finding in findings:
                    logger.error('settings stay as they are: {}', finding)

    def _take(self, settings: Settings) -> None:
        known = self._node.settings
        changed = [
            field.name
            for field in fields(settings)
            if getattr(settings, field.name) != getattr(known, field.name)
        ]
        fixed = [name for name in changed if name in FIXED]
        if fixed:
            logger.warning(
                'settings {} change with the next start only',
                ', '.join(fixed),
            )
        self._node.settings = settings
        self._node.options = self._make_options(settings)
        logger.info('settings read again: {}', ', '.join(changed) or 'same')
        now_ms = self._node.clock.now_ms()
        self._node.events.publish(SettingsChanged(tuple(changed), now_ms))

    def _on_tick(self, event: Tick) -> None:
        if not self._path or event.now_ms < self._next_check_ms:
            return
        self._next_check_ms = event.now_ms + CHECK_INTERVAL_MS
        if self._file_mark() != self._mark:
            self.reload()

    def _file_mark(self) -> Any:
        """Return what changes whenever the file is written anew."""
        try:
            found = os.stat(self._path)
        except OSError:
            # The file may be missing for a moment while it is replaced.
            return self._mark
        return found.st_mtime_ns, found.st_size, found.st_ino
