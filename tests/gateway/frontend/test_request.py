"""Conversion of a request to the call that routing and selection use.

Guards against a route that is missed because of the port or case of a host,
and against different requests with one fingerprint, which would be quarantined
together.
"""

import pytest

from figdoor_gateway.frontend._request import CallerRequest
from figdoor_gateway.headers import FigdoorDialect


class TestCall:
    @pytest.mark.parametrize(
        ('host', 'authority'),
        [
            (b'A.Example:80', 'a.example'),
            (b'[::1]:80', '[::1]'),
            (b'', ''),
        ],
    )
    def test_authority_has_no_port(self, host, authority):
        request = CallerRequest(b'GET', b'/', [(b'host', host)])
        assert request.as_call(FigdoorDialect()).authority == authority

    def test_fingerprint_covers_method_target_and_body(self):
        fingerprints = {
            CallerRequest(method, target, body=bytearray(body))
            .as_call(FigdoorDialect())
            .fingerprint
            for method, target, body in (
                (b'GET', b'/', b''),
                (b'PUT', b'/', b''),
                (b'GET', b'/a', b''),
                (b'GET', b'/', b'a'),
            )
        }
        assert len(fingerprints) == 4
