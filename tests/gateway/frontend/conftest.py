"""Fixture with a front end that has small limits for bodies."""

import pytest
from wires import FrontEndRig


@pytest.fixture
def rig(monkeypatch):
    return FrontEndRig(
        monkeypatch,
        max_buffered_body_bytes=100,
        max_body_bytes=1000,
    )
