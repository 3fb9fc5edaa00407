"""The front end that the tests here share."""

import pytest
from wires import FrontEndRig


@pytest.fixture
def rig(monkeypatch):
    return FrontEndRig(
        monkeypatch,
        max_buffered_body_bytes=100,
        max_body_bytes=1000,
    )
