"""Logs as a log collector reads them."""

import json
import os
import sys

import pytest
from loguru import logger
from twisted.logger import LogLevel
from twisted.python.failure import Failure

from figdoor_gateway import line_writer as line_writer_module
from figdoor_gateway.line_writer import LineWriter
from figdoor_gateway.logs import (
    configure_logs,
    line_writer,
    log_twisted_event,
)


def read_lines(capfd):
    """Return the JSON lines, which the platform collects from stdout."""
    line_writer.flush()
    return capfd.readouterr().out.splitlines()


class TestConfigureLogs:
    """Guards against records that a log collector splits or cannot parse."""

    @pytest.fixture(autouse=True)
    def restore(self):
        yield
        logger.remove()

    def test_each_event_is_one_json_line_even_with_line_breaks(self, capfd):
        configure_logs('json', 'INFO')
        logger.bind(route='read').warning('two\nlines of {}', 'text')
        logger.info('next')
        first, second = read_lines(capfd)
        record = json.loads(first)
        assert record['message'] == 'two\nlines of text'
        assert (record['level'], record['route']) == ('WARNING', 'read')
        assert record['logger'] == __name__
        assert json.loads(second)['message'] == 'next'

    def test_exception_has_its_traceback_in_the_same_line(self, capfd):
        configure_logs('json', 'INFO')
        try:
            raise ValueError('reason')
        except ValueError:
            logger.exception('failed')
        (line,) = read_lines(capfd)
        assert 'ValueError: reason' in json.loads(line)['exception']

    def test_error_caught_by_twisted_is_one_json_line(self, capfd):
        configure_logs('json', 'INFO')
        log_twisted_event(
            {
                'log_level': LogLevel.critical,
                'log_format': 'Unhandled Error',
                'log_failure': Failure(ValueError('reason')),
            },
        )
        log_twisted_event({'log_level': LogLevel.info, 'log_format': 'x'})
        (line,) = read_lines(capfd)
        record = json.loads(line)
        assert record['message'] == 'Unhandled Error'
        assert 'ValueError: reason' in record['exception']

    def test_records_below_the_level_are_not_written(self, capfd):
        configure_logs('text', 'WARNING')
        logger.info('quiet')
        logger.error('loud')
        text = capfd.readouterr().err
        assert 'loud' in text
        assert 'quiet' not in text


class TestLineWriter:
    """Guards against a log that blocks the event loop or uses up memory."""

    def test_full_pipe_drops_lines_without_blocking(self, monkeypatch):
        reader, writer = os.pipe()
        with os.fdopen(writer, 'w') as full, os.fdopen(reader) as unread:
            monkeypatch.setattr(sys, 'stdout', full)
            lines = LineWriter()
            monkeypatch.setattr(line_writer_module, 'MAX_LINES_PER_S', 10**9)
            for _ in range(2000):
                lines.add('x' * 1000)
                lines.flush()
            assert lines.dropped_count > 0
            assert unread.readline() == 'x' * 1000 + '\n'

    def test_lines_are_written_whole_and_in_order(self, capfd):
        lines = LineWriter()
        for number in range(300):
            lines.add(f'{number} ' + 'x' * 100)
        lines.flush()
        written = capfd.readouterr().out.splitlines()
        assert [int(line.split()[0]) for line in written] == list(range(300))

    def test_lines_beyond_the_rate_limit_are_dropped(self):
        lines = LineWriter()
        for _ in range(5000):
            lines.add('x')
        assert lines.dropped_count >= 5000 - 2 * 400
