"""Settings of a node, read from flags and environment variables."""

from figdoor_gateway.settings._options import OPTIONS, Address, Option
from figdoor_gateway.settings._settings import (
    ReadSettings,
    Settings,
    describe_options,
    flag_file,
    read_settings,
)

__all__ = (
    'OPTIONS',
    'Address',
    'Option',
    'Settings',
    'ReadSettings',
    'describe_options',
    'flag_file',
    'read_settings',
)
