"""Exceptions of the kernel, with messages for the person at the terminal."""


class FigdoorError(Exception):
    """Base of all errors that figdoor raises on purpose."""


class PluginError(FigdoorError):
    """A plug-in is missing, registered twice or could not be loaded."""


class SettingsError(FigdoorError):
    """One or more settings are wrong; the text lists every finding."""
