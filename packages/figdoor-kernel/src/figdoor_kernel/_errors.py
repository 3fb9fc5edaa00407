"""Exceptions of the kernel; their messages are shown to the operator."""


class FigdoorError(Exception):
    """Base class of the errors that figdoor raises."""


class PluginError(FigdoorError):
    """A plug-in is missing, registered twice or failed to load."""


class SettingsError(FigdoorError):
    """One or more settings are invalid; the message lists every finding."""
