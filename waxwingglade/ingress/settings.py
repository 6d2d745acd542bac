"""Settings of the ingress."""

import msgspec

from waxwingglade.base import ZoneId
from waxwingglade.ingress.accounts import KeyAgeLimits


class IngressSettings(msgspec.Struct, frozen=True):
    """What an entry on a platform is told; times in seconds.

    Parameters
    ----------
    vm : str
        Name of its VM.
    zone : ZoneId
        Its availability zone.
    callers : str
        ``IP:PORT`` for callers.
    ready : str
        ``IP:PORT`` where the balancer asks whether this entry takes callers.
    metrics : str
        ``IP:PORT`` of the metrics page; empty for none.
    connect_timeout_s : float
        For a connection to a target.  A round trip takes some 3 ms; an opening packet that was
        dropped is sent again after a second, so another target is quicker.
    answer_grace_s : float
        Beyond a request's time, for the target's own answer that its time is over.
    drain_wait_s : float
        After the signal to stop, until no more requests are taken: the balancer asks once a
        second, needs two refusals to send callers elsewhere, and lags.
    drain_timeout_s : float
        After the signal to stop, until the process ends; the platform kills it after its grace.
        Between the two, the longest request must fit.
    retry_after_s : float
        After which a caller that was not served may come back.
    keys : KeyRules
        How old the view may be under which callers' keys are judged.
    """

    vm: str
    zone: ZoneId
    callers: str
    ready: str
    metrics: str = ""
    connect_timeout_s: float = 0.35
    answer_grace_s: float = 0.12
    drain_wait_s: float = 4.4
    drain_timeout_s: float = 7.4
    retry_after_s: float = 0.1
    keys: KeyAgeLimits = KeyAgeLimits()


__all__ = ["IngressSettings"]
