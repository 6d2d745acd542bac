"""Exceptions of the package.

Expected failures are returned as `waxwingglade.base.verdict.Failure` values.  Exceptions report
wrong settings, faults of the code, and data that must not be modified.
"""

SHOWN_CHARACTERS = 160
"""Characters of an invalid value, or of what is wrong with it, that an error shows."""


class WaxwinggladeError(Exception):
    """Base of all exceptions raised by the package."""


class SettingsError(WaxwinggladeError):
    """Settings are invalid; the message names the file, the path and the reason of each error."""


class FormatError(WaxwinggladeError):
    """Stored or received data is corrupt or has a newer format version; it was not modified."""


def shortened(text: str) -> str:
    """Return a text with its middle left out if it is long; errors of msgspec end with the path."""
    half = SHOWN_CHARACTERS // 2
    return text if len(text) <= SHOWN_CHARACTERS else f"{text[:half]}...{text[-half:]}"
