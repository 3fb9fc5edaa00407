"""Removal of hop-by-hop headers, and parsing of load reports.

Guards against a ``Connection`` header that removes the framing of a message,
and against malformed reports that fail a request.
"""

from figdoor_gateway.headers import end_to_end, read_load_report


class TestEndToEnd:
    def test_hop_by_hop_and_listed_headers_are_removed(self):
        forwarded = end_to_end(
            [
                (b'connection', b'close, X-Hop'),
                (b'x-hop', b'1'),
                (b'keep-alive', b'5'),
                (b'te', b'trailers'),
                (b'upgrade', b'h2c'),
                (b'transfer-encoding', b'chunked'),
                (b'accept', b'*/*'),
            ],
        )
        assert forwarded == [(b'accept', b'*/*')]

    def test_connection_header_cannot_remove_protected_headers(self):
        headers = [
            (b'host', b'a'),
            (b'content-length', b'1'),
            (b'idempotency-key', b'k'),
        ]
        connection_header = (
            b'connection',
            b'host, content-length, idempotency-key',
        )
        assert end_to_end([connection_header, *headers]) == headers


class TestReadLoadReport:
    def test_malformed_report_is_ignored(self):
        assert read_load_report(b'running=x, instance=a') is None
        assert read_load_report(b'running=1') is None
        assert read_load_report(b'\xff') is None

    def test_fields_are_read_in_any_order(self):
        report = read_load_report(b'draining=1,instance=a, running=3')
        assert (report.instance, report.running, report.draining) == (
            'a',
            3,
            True,
        )
