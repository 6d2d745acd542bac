"""Exceptions of the package.

Expected failures are returned as `waxwingglade.base.verdict.Failure` values.  Exceptions report
wrong settings, faults of the code, and data that must not be modified.
"""


class WaxwinggladeError(Exception):
    """Base of all exceptions raised by the package."""


class SettingsError(WaxwinggladeError):
    """Settings are invalid; the message names the file, the path and the reason of each error."""


class FormatError(WaxwinggladeError):
    """Stored or received data is corrupt or has a newer format version; it was not modified."""
