"""Serialized names, compared with recorded datagrams and trace lines."""

import json
from types import SimpleNamespace

import pytest
from support import Recorder

from figdoor_gateway.peers import decode, encode
from figdoor_kernel import (
    AddressSendRequested,
    BroadcastRequested,
    ConfigReadFailed,
    ConfigReadSucceeded,
    EventBus,
    FloodedUpdate,
    Heartbeat,
    MissedUpdatesRequest,
    PeerMessageReceived,
    PeerSendRequested,
    ProbeRequested,
    Revision,
    RevisionAccepted,
    StopNotice,
    Tables,
    TablesPending,
    UpdateReceived,
    UpstreamDied,
    UpstreamWarm,
    serialized_type_name,
)
from figdoor_traces import _codec as trace_codec
from figdoor_traces._format import Action, Line
from figdoor_traces._inputs import Inputs

UPSTREAM_DIED = UpstreamDied('stock', 77, 'w1', 'i7')
UPSTREAM_DIED_LINE = (
    '{"kind": "DeathSeen", "route": "stock", "fingerprint": 77,'
    ' "upstream": "w1", "instance": "i7"}'
)
# Recorded when the class names equalled the serialized names.
DATAGRAMS = [
    (StopNotice(), 'Farewell', '1005500102010311051a0ffcffffff036e31'),
    (
        MissedUpdatesRequest((3, 4)),
        'NewsRequest',
        '1008500102010211051a410401036e3111011501030104',
    ),
    (
        FloodedUpdate('n1', 5, UPSTREAM_DIED),
        'Flooded',
        '1012500102010711051a51040102036e31010511051a51040101036e3101035001030'
        '14d11093211091a11091a1f73746f636b037731036937',
    ),
    (
        FloodedUpdate('n1', 6, UpstreamWarm('w1', 'i7')),
        'Flooded',
        '100f500102010711051a51040102036e31010611051a51040101036e3101014002110'
        '51a11051a037731036937',
    ),
]
TRACE_LINES = [
    (StopNotice(), '{"kind": "Farewell"}'),
    (
        MissedUpdatesRequest((3, 4)),
        '{"kind": "NewsRequest", "sequences": [3, 4]}',
    ),
    (UPSTREAM_DIED, UPSTREAM_DIED_LINE),
    (
        FloodedUpdate('n1', 5, UPSTREAM_DIED),
        '{"kind": "Flooded", "origin": "n1", "sequence": 5, "news": '
        f'{UPSTREAM_DIED_LINE}}}',
    ),
    (
        BroadcastRequested(RevisionAccepted(Revision(3)), 10.0),
        '{"kind": "NewsWanted", "news": {"kind": "RevisionAccepted",'
        ' "revision": 3}, "now_ms": 10.0}',
    ),
    (
        UpdateReceived('n2', UPSTREAM_DIED, 10.0),
        '{"kind": "NewsReceived", "origin": "n2", "news": '
        f'{UPSTREAM_DIED_LINE}, "now_ms": 10.0}}',
    ),
    (
        PeerSendRequested('n2', StopNotice()),
        '{"kind": "PeerMessageWanted", "target": "n2", "message":'
        ' {"kind": "Farewell"}}',
    ),
    (
        AddressSendRequested('127.0.0.1:7000', Heartbeat(1.5, Revision(2))),
        '{"kind": "GreetingWanted", "address": "127.0.0.1:7000", "message":'
        ' {"kind": "Heartbeat", "token_ms": 1.5, "revision": 2,'
        ' "recent": []}}',
    ),
    (
        ProbeRequested('w1', 10.0),
        '{"kind": "ProbeWanted", "upstream": "w1", "now_ms": 10.0}',
    ),
    (
        ConfigReadSucceeded(9.0, Revision(3)),
        '{"kind": "ServiceConfirmed", "read_started_ms": 9.0, "revision": 3}',
    ),
    (
        ConfigReadFailed(9.0, 10.0),
        '{"kind": "ServiceFailed", "read_started_ms": 9.0, "now_ms": 10.0}',
    ),
]
TABLES_LINE = (
    '{"kind": "TablesHeld", "tables": {"kind": "Tables", "revision": 3,'
    ' "routes": [], "pools": {}, "fleet_availability_zones": null,'
    ' "routes_text": "", "pools_text": "", "caller_limits": {"kind":'
    ' "CallerLimits", "max_header_bytes": null, "max_body_bytes": null,'
    ' "header_timeout_ms": null, "idle_timeout_ms": null},'
    ' "evacuated": []}, "now_ms": 10.0}'
)
EVENT_LINES = [
    (event, line)
    for event, line in TRACE_LINES
    if type(event).__module__ != StopNotice.__module__
]


class TestDatagrams:
    """Guards against datagrams that nodes of another version reject."""

    @pytest.mark.parametrize(('message', 'label', 'datagram'), DATAGRAMS)
    def test_datagram_equals_the_recorded_one(self, message, label, datagram):
        assert encode('n1', message).hex() == datagram
        assert decode(bytes.fromhex(datagram)) == ('n1', message)

    @pytest.mark.parametrize(('message', 'label', 'datagram'), DATAGRAMS)
    def test_metric_label_equals_the_recorded_one(
        self, message, label, datagram
    ):
        assert serialized_type_name(type(message)) == label


class TestTraceLines:
    """Guards against recorded traces that can no longer be replayed."""

    @pytest.mark.parametrize(('event', 'line'), TRACE_LINES)
    def test_line_equals_the_recorded_one(self, event, line):
        assert json.dumps(trace_codec.encode(event)) == line
        decoded = trace_codec.decode(type(event), json.loads(line))
        assert decoded == event

    def test_line_of_tables_equals_the_recorded_one(self):
        """Only compared when written: tables are not read back from traces."""
        event = TablesPending(Tables(Revision(3), (), {}), 10.0)
        assert json.dumps(trace_codec.encode(event)) == TABLES_LINE

    def test_union_member_is_found_by_its_serialized_name(self):
        received = PeerMessageReceived(
            'n2', FloodedUpdate('n2', 5, UPSTREAM_DIED), 10.0
        )
        line = json.loads(json.dumps(trace_codec.encode(received)))
        assert trace_codec.decode(PeerMessageReceived, line) == received

    @pytest.mark.parametrize(('event', 'line'), EVENT_LINES)
    def test_replay_finds_the_event_by_its_serialized_name(
        self,
        event,
        line,
    ):
        node = SimpleNamespace(events=EventBus())
        recorder = Recorder(node, type(event))
        fields = json.loads(line)
        fields['event'] = fields.pop('kind')
        Inputs(node).publish(Line(1, 10.0, Action.EVENT, fields, {}))
        assert recorder.events == [event]
