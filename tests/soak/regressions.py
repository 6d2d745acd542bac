"""Seeds of earlier soak failures with their causes, which are run again before a release.

`REGRESSIONS` run without a spare ledger process and with the first kinds of faults (`FIRST_KINDS`).
`LATER_REGRESSIONS` run with the defaults.  `LEDGER_REGRESSIONS` run with many programs and only
with faults of the ledger (`LEDGER_KINDS`).
"""

REGRESSIONS = {
    9: (
        "SIGHUP ended an entry that was restarting after a kill, before the interpreter ran the "
        "first line of the package"
    ),
    313: (
        "402 for a turn within the budget, 0.06 to 0.1 s after the previous turn was refused as "
        "not run, since the ledger did not answer in time: replicas that received its end ignored "
        "it until a majority had committed it; a later run failed like 9"
    ),
    343: "the same as 313",
}

LATER_REGRESSIONS = {
    909: (
        "402 for a turn within the budget, 1.07 s after the previous turn was refused: its "
        "reservation was still open, since the entry always asked the same replica to resolve it, "
        "which had just started and knew no members"
    ),
}

LEDGER_REGRESSIONS = {
    1000: "the same as 313, twice",
    1001: "the same as 313; the replica that answered 402 had received the end of the turn",
    1003: "the same as 313, twice",
}

__all__ = ["LATER_REGRESSIONS", "LEDGER_REGRESSIONS", "REGRESSIONS"]
