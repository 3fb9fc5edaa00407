"""Memory of ended calls.

Guards against reference cycles in ended calls. Only the garbage collector
frees them, and its collections delay responses.
"""

import gc

import pytest
from wires import GET, FrontEndRig


class TestProxiedCallMemory:
    @pytest.mark.parametrize('status', [200, 500])
    def test_ended_call_leaves_no_reference_cycle(self, monkeypatch, status):
        rig = FrontEndRig(monkeypatch)
        connection, _ = rig.connect()
        gc.collect()
        gc.disable()
        try:
            for _ in range(10):
                connection.dataReceived(GET)
                rig.attempts.pop().respond(status)
            assert gc.collect() < 10
        finally:
            gc.enable()
