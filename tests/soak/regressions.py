"""Seeds of the soak that once failed, each with its cause; they are run again before a release."""

REGRESSIONS = {
    9: (
        "a signal that settings had changed ended an entry that was starting again after a kill; mended "
        "from the first line of the command on, and still red where it comes before that"
    ),
}

__all__ = ["REGRESSIONS"]
