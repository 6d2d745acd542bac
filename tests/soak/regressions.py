"""Seeds of the soak that once failed, each with its cause; they are run again before a release."""

REGRESSIONS = {
    9: "a signal that settings had changed ended an entry that was starting again after a kill",
}

__all__ = ["REGRESSIONS"]
