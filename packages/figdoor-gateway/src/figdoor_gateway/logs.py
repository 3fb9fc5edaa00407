"""Logging: readable lines, or one JSON object a line."""

import json
import sys
from typing import Any

from loguru import logger

LOG_FORMATS = ('text', 'json')
_TEXT_FORMAT = '{time:YYYY-MM-DD HH:mm:ss.SSS} {level} {name}: {message}'


def configure_logs(log_format: str, log_level: str) -> None:
    """Send all log records of the process to standard error."""
    logger.remove()
    if log_format == 'json':
        logger.add(_write_json, level=log_level)
    else:
        logger.add(sys.stderr, level=log_level, format=_TEXT_FORMAT)


def _write_json(message: Any) -> None:
    record = message.record
    line = {
        'time': record['time'].isoformat(),
        'level': record['level'].name,
        'logger': record['name'],
        'message': record['message'],
    }
    line.update(record['extra'])
    sys.stderr.write(f'{json.dumps(line, default=str)}\n')
