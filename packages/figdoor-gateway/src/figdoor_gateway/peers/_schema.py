"""The compiled schema of all messages between nodes."""

from pathlib import Path
from typing import Any

import capnp

# The schema is loaded by its path, so the import hook is not needed.
capnp.remove_import_hook()
schema: Any = capnp.load(str(Path(__file__).with_name('peers.capnp')))


class MalformedMessage(Exception):
    """Bytes that are not a valid message of this protocol."""
