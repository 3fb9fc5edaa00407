"""Logging as text or as one JSON object per line."""

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
_ERROR_LEVELS = frozenset((LogLevel.error, LogLevel.critical))


def configure_logs(log_format: str, log_level: str) -> None:
    """Configure the log of the process.

    JSON lines go to standard output, where the platform collects them. Text
    goes to standard error, for a person at a terminal.
    """
    logger.remove()
    if log_format == 'json':
        logger.add(_write_json, level=log_level)
    else:
        logger.add(sys.stderr, level=log_level, format=_TEXT_FORMAT)


def capture_twisted_errors() -> None:
    """Log errors that Twisted caught in the same format as all others.

    Otherwise Twisted prints them as plain text between the JSON lines. Call
    this once per process.
    """
    globalLogBeginner.beginLoggingTo(
        [log_twisted_event],
        redirectStandardIO=False,
    )


@provider(ILogObserver)
def log_twisted_event(event: Mapping[str, Any]) -> None:
    """Log an event of Twisted's logger if it reports an error."""
    if event.get('log_level') not in _ERROR_LEVELS:
        return
    failure = event.get('log_failure')
    error = failure.value if failure else None
    text = formatEvent(dict(event))
    logger.opt(exception=error).error('{}', text)


def write_line(fields: Mapping[str, Any]) -> None:
    """Write fields as a JSON line, or drop it if it exceeds a limit."""
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
