"""Logging: readable lines, or one JSON object a line."""

import json
import sys
import traceback
from collections.abc import Mapping
from typing import Any

from loguru import logger
from twisted.logger import (
    ILogObserver,
    LogLevel,
    formatEvent,
    globalLogBeginner,
)
from zope.interface import provider

from figdoor_gateway.line_writer import LineWriter

line_writer = LineWriter()

LOG_FORMATS = ('text', 'json')
_TEXT_FORMAT = '{time:YYYY-MM-DD HH:mm:ss.SSS} {level} {name}: {message}'
_FAILURES = frozenset((LogLevel.error, LogLevel.critical))


def configure_logs(log_format: str, log_level: str) -> None:
    """Send all log records of the process to one place.

    JSON lines go to standard output, where the platform collects them, and
    text goes to standard error for a person at the terminal.
    """
    logger.remove()
    if log_format == 'json':
        logger.add(_write_json, level=log_level)
    else:
        logger.add(sys.stderr, level=log_level, format=_TEXT_FORMAT)


def capture_twisted_errors() -> None:
    """Log errors that Twisted caught, in the same form as all others.

    Without it they would be printed as plain text between JSON lines. Call
    it once in a process.
    """
    globalLogBeginner.beginLoggingTo(
        [log_twisted_event],
        redirectStandardIO=False,
    )


@provider(ILogObserver)
def log_twisted_event(event: Mapping[str, Any]) -> None:
    """Log one event of Twisted's own log, if it reports an error."""
    if event.get('log_level') not in _FAILURES:
        return
    failure = event.get('log_failure')
    error = failure.value if failure else None
    text = formatEvent(dict(event))
    logger.opt(exception=error).error('{}', text)


def write_line(fields: Mapping[str, Any]) -> None:
    """Write one structured line to standard output, or drop it."""
    line_writer.add(json.dumps(fields, default=str))


def _write_json(message: Any) -> None:
    record = message.record
    line = {
        **record['extra'],
        'time': record['time'].isoformat(),
        'level': record['level'].name,
        'logger': record['name'],
        'message': record['message'],
    }
    if record['exception'] is not None:
        line['exception'] = ''.join(
            traceback.format_exception(record['exception'].value),
        )
    write_line(line)
