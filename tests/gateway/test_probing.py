"""Probes on the wire."""

from support import Recorder, give_vms, make_node, upstream_vm
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


class Load(Resource):
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
    def probe(self, resource, wanted='w1'):
        root = Resource()
        root.putChild(b'load', resource)
        self.node = make_node()
        give_vms(self.node, upstream_vm('w1'))
        http = StubTreq(root)
        probes = LoadProbes(self.node, http)
        reports = Recorder(self.node, ReportSeen)
        self.ended = Recorder(self.node, ProbeEnded)
        self.node.events.publish(ProbeRequested(wanted, 0))
        http.flush()
        probes.stop()
        return reports.events

    def test_report_of_the_answer_is_published(self):
        load = Load('running=3, instance=ab12, draining=0')
        (seen,) = self.probe(load)
        assert seen.report == LoadReport(InstanceId('ab12'), 3)
        assert [event.succeeded for event in self.ended.events] == [True]

    def test_one_wanted_probe_is_one_request(self):
        # The failure: a client that resends escapes the budget.
        load = Load(None)
        self.probe(load)
        assert load.requests == 1

    def test_answer_without_a_report_is_a_failed_probe(self):
        assert not self.probe(Load(None))
        assert [event.succeeded for event in self.ended.events] == [False]

    def test_report_on_an_error_is_not_believed(self):
        assert not self.probe(errorPage(503, 'busy', ''))
        assert [event.succeeded for event in self.ended.events] == [False]

    def test_upstream_that_left_the_list_is_not_probed(self):
        load = Load(None)
        self.probe(load, wanted='w9')
        assert not load.requests

    def test_stop_ends_a_probe_under_way(self):
        self.node = make_node()
        give_vms(self.node, upstream_vm('w1'))
        probes = LoadProbes(self.node, StubTreq(Load('')))
        ended = Recorder(self.node, ProbeEnded)
        self.node.events.publish(ProbeRequested('w1', 0))
        probes.stop()
        assert [event.succeeded for event in ended.events] == [False]
