"""The compiled schema of all messages between nodes."""

from pathlib import Path
from typing import Any

import capnp

# The schema is loaded by its path; importing *.capnp files stays off.
capnp.remove_import_hook()
schema: Any = capnp.load(str(Path(__file__).with_name('peers.capnp')))


class MalformedMessage(Exception):
    """Bytes of a peer that are no message of this protocol."""
