"""Reloads the settings while the node runs."""

import os
from collections.abc import Callable
from dataclasses import fields
from typing import Any

from loguru import logger
from returns.result import Failure, Success

from figdoor_gateway.settings import ReadSettings, Settings, flag_file
from figdoor_kernel import Node, Options, Service, SettingsChanged, Tick

# A changed flag file is noticed within this time, even without a signal.
CHECK_INTERVAL_MS = 1000.0
# Settings that take effect only at a start: sockets and parts are built from
# them once.
RESTART_ONLY = frozenset(
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


class SettingsReloader(Service):
    """Reloads the settings on a signal and when the flag file changes.

    If the new settings have findings, the current ones stay in force.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to ticks; nothing is read before ``configure``."""
        self._node = node
        self._path = ''
        self._read: Callable[[], ReadSettings] | None = None
        self._make_options: Callable[[Settings], Options]
        self._last_version: object = None
        self._next_check_ms = float('-inf')
        node.events.subscribe(Tick, self._on_tick)

    def configure(
        self,
        arguments: list[str],
        read: Callable[[], ReadSettings],
        make_options: Callable[[Settings], Options],
    ) -> None:
        """Set how to read settings; ``arguments`` may name the flag file."""
        self._make_options = make_options
        self._path = flag_file(arguments)
        self._read = read
        self._last_version = self._file_version()

    def reload(self) -> None:
        """Read the settings and apply them unless they have findings."""
        if self._read is None:
            return
        self._last_version = self._file_version()
        match self._read():
            case Success(settings):
                self._apply(settings)
            case Failure(findings):
                for finding in findings:
                    logger.error('settings not reloaded: {}', finding)

    def _apply(self, settings: Settings) -> None:
        current = self._node.settings
        changed = [
            field.name
            for field in fields(settings)
            if getattr(settings, field.name) != getattr(current, field.name)
        ]
        restart_only = [name for name in changed if name in RESTART_ONLY]
        if restart_only:
            logger.warning(
                'settings {} were changed but take effect only after a restart',
                ', '.join(restart_only),
            )
        self._node.settings = settings
        self._node.options = self._make_options(settings)
        logger.info('settings reloaded: {}', ', '.join(changed) or 'same')
        now_ms = self._node.clock.now_ms()
        self._node.events.publish(SettingsChanged(tuple(changed), now_ms))

    def _on_tick(self, event: Tick) -> None:
        if not self._path or event.now_ms < self._next_check_ms:
            return
        self._next_check_ms = event.now_ms + CHECK_INTERVAL_MS
        if self._file_version() != self._last_version:
            self.reload()

    def _file_version(self) -> Any:
        """Return a value that changes whenever the file is rewritten."""
        try:
            status = os.stat(self._path)
        except OSError:
            # The file may be missing for a moment while it is replaced.
            return self._last_version
        return status.st_mtime_ns, status.st_size, status.st_ino
