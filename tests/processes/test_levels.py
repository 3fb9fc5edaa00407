"""Nested calls, in which each upstream calls the next through a gateway."""

import time

import pytest

from figdoor_standins.processes import http

pytestmark = pytest.mark.processes

LEVELS = 22
MAX_ATTEMPTS = 4


class TestLevels:
    @pytest.fixture
    def nested(self, site):
        """Return a function that sends a call nested through all levels.

        It returns the response and the executions at each level, the
        outermost first.
        """
        ports = ','.join(str(gateway.port) for gateway in site.gateways)

        def run(request_id, **behaviour):
            site.set_behaviour(call_ports=ports, **behaviour)
            headers = {'X-Request-Id': request_id, 'X-Levels': LEVELS - 1}
            port = site.gateways[0].port
            response = http(port, '/work', 'GET', headers=headers)
            # Inner calls may run on after the response, until their deadlines.
            time.sleep(0.5)
            executions = site.executions()
            levels = [executions[request_id]]
            levels.extend(
                executions[f'{request_id}.{level}']
                for level in reversed(range(LEVELS - 1))
            )
            return response, levels

        yield run
        site.set_behaviour(call_ports='', service_ms=2, reset=0)

    def test_response_passes_through_all_levels(self, nested):
        response, levels = nested('whole')
        assert response[0] == 200
        assert levels == [1] * LEVELS

    def test_request_lost_at_the_innermost_level_is_retried_only_there(
        self, nested
    ):
        """Guards against retries that multiply from level to level."""
        response, levels = nested('loss', reset=1)
        # The outermost upstream has answered, with the inner failure.
        assert response[0] == 502
        assert response[1]['figdoor-outcome'] == 'answered'
        assert levels[:-1] == [1] * (LEVELS - 1)
        assert 1 <= levels[-1] <= MAX_ATTEMPTS

    def test_deadline_of_the_caller_ends_all_levels(self, nested):
        """Guards against inner calls that get the full deadline of the route.

        All levels together need twice that deadline.
        """
        response, levels = nested('late', service_ms=100)
        # The first gateway's own time-out, or that of an inner call.
        assert response[0] in {503, 504}
        assert sum(levels) < LEVELS / 2 + 1
