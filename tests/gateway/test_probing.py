"""Load probes: requests sent, and events published.

Guards against failed probes that count as successful or are never reported.
"""

from support import Recorder, make_node, publish_vm_list, upstream_vm
from treq.testing import StubTreq
from twisted.web.pages import errorPage
from twisted.web.resource import Resource

from figdoor_gateway.probing import LoadProbes
from figdoor_kernel import (
    InstanceId,
    LoadReport,
    ProbeEnded,
    ProbeRequested,
    ReportSeen,
)


class LoadPage(Resource):
    isLeaf = True

    def __init__(self, header):
        super().__init__()
        self.header = header
        self.requests = 0

    def render_GET(self, request):  # noqa: N802
        self.requests += 1
        if self.header is not None:
            request.setHeader('Figdoor-Load', self.header)
        return b''


class TestLoadProbes:
    def probe(self, resource, upstream='w1'):
        root = Resource()
        root.putChild(b'load', resource)
        self.node = make_node()
        publish_vm_list(self.node, upstream_vm('w1'))
        http = StubTreq(root)
        probes = LoadProbes(self.node, http)
        reports = Recorder(self.node, ReportSeen)
        self.ended = Recorder(self.node, ProbeEnded)
        self.node.events.publish(ProbeRequested(upstream, 0))
        http.flush()
        probes.stop()
        return reports.events

    def test_report_in_response_is_published(self):
        page = LoadPage('running=3, instance=ab12, draining=0')
        (report_seen,) = self.probe(page)
        assert report_seen.report == LoadReport(InstanceId('ab12'), 3)
        assert [event.succeeded for event in self.ended.events] == [True]

    def test_each_requested_probe_sends_one_request(self):
        """Guards against an HTTP client whose retries exceed the budget."""
        page = LoadPage(None)
        self.probe(page)
        assert page.requests == 1

    def test_response_without_report_is_failed_probe(self):
        assert not self.probe(LoadPage(None))
        assert [event.succeeded for event in self.ended.events] == [False]

    def test_report_in_error_response_is_ignored(self):
        assert not self.probe(errorPage(503, 'busy', ''))
        assert [event.succeeded for event in self.ended.events] == [False]

    def test_removed_upstream_is_not_probed(self):
        page = LoadPage(None)
        self.probe(page, upstream='w9')
        assert not page.requests

    def test_stop_fails_probe_in_flight(self):
        self.node = make_node()
        publish_vm_list(self.node, upstream_vm('w1'))
        probes = LoadProbes(self.node, StubTreq(LoadPage('')))
        ended = Recorder(self.node, ProbeEnded)
        self.node.events.publish(ProbeRequested('w1', 0))
        probes.stop()
        assert [event.succeeded for event in ended.events] == [False]
