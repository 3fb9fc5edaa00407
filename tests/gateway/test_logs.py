"""Logs: what a log collector reads."""

import json

import pytest
from loguru import logger
from twisted.logger import LogLevel
from twisted.python.failure import Failure

from figdoor_gateway.logs import configure_logs, log_twisted_event


class TestConfigureLogs:
    @pytest.fixture(autouse=True)
    def restore(self):
        yield
        logger.remove()

    def test_each_event_is_one_json_line_even_with_line_breaks(self, capsys):
        configure_logs('json', 'INFO')
        logger.bind(route='read').warning('two\nlines of {}', 'text')
        logger.info('next')
        first, second = capsys.readouterr().err.splitlines()
        told = json.loads(first)
        assert told['message'] == 'two\nlines of text'
        assert (told['level'], told['route']) == ('WARNING', 'read')
        assert told['logger'] == __name__
        assert json.loads(second)['message'] == 'next'

    def test_exception_keeps_its_traceback_within_the_line(self, capsys):
        configure_logs('json', 'INFO')
        try:
            raise ValueError('reason')
        except ValueError:
            logger.exception('failed')
        (line,) = capsys.readouterr().err.splitlines()
        assert 'ValueError: reason' in json.loads(line)['exception']

    def test_error_that_twisted_caught_is_one_json_line_too(self, capsys):
        configure_logs('json', 'INFO')
        log_twisted_event(
            {
                'log_level': LogLevel.critical,
                'log_format': 'Unhandled Error',
                'log_failure': Failure(ValueError('reason')),
            },
        )
        log_twisted_event({'log_level': LogLevel.info, 'log_format': 'x'})
        (line,) = capsys.readouterr().err.splitlines()
        told = json.loads(line)
        assert told['message'] == 'Unhandled Error'
        assert 'ValueError: reason' in told['exception']

    def test_lower_levels_are_left_out(self, capsys):
        configure_logs('text', 'WARNING')
        logger.info('quiet')
        logger.error('loud')
        text = capsys.readouterr().err
        assert 'loud' in text
        assert 'quiet' not in text
