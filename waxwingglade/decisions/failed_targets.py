"""Limit on the targets that one request may end."""

MAX_FAILED_TARGETS = 3
"""Targets that ended or broke off under a request, from which on it is not sent any more.  One or
two may fail by chance."""

__all__ = ["MAX_FAILED_TARGETS"]
