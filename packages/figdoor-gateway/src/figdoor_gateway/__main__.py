"""The entry point of the command ``figdoor``."""

from importlib import import_module

from figdoor_gateway.deferred_imports import defer_imports
from figdoor_gateway.memory import pause_collections


def main() -> None:
    """Import the command and run it."""
    # Must precede the imports, which would trigger several collections.
    pause_collections()
    defer_imports()
    import_module('figdoor_gateway.cli').run()


if __name__ == '__main__':
    main()
