"""Settings of the ingress."""

import msgspec

from waxwingglade.base import ZoneId
from waxwingglade.follow.feed import HEARTBEAT_S
from waxwingglade.ingress.accounts import KeyAgeLimits


class IngressSettings(msgspec.Struct, frozen=True):
    """Settings of an entry on a platform; times in seconds.

    Parameters
    ----------
    vm : str
        Name of the VM of the entry.
    zone : ZoneId
        Availability zone of the entry.
    callers : str
        ``IP:PORT`` on which callers are served.
    ready : str
        ``IP:PORT`` of the readiness checks of the balancer.
    metrics : str
        ``IP:PORT`` of the metrics page; empty for none.
    connect_timeout_s : float
        Timeout to connect to a target.  A round trip takes about 3 ms.  A lost SYN packet is sent
        again only after a second, so it is quicker to try another target.
    answer_grace_s : float
        Extra time after the timeout of a request, for the timeout answer of the target itself.
    drain_notice_s : float
        Time from the stop signal until requests that may last longer than the process are refused.
        The balancer checks once a second, needs two failed checks to send callers to another entry,
        and acts with a delay.
    drain_wait_s : float
        Time from the stop signal until no request is accepted any more.
    drain_timeout_s : float
        Time from the stop signal until the process ends; the platform kills the process after its
        grace period.
    retry_after_s : float
        Time after which a caller that was not served may retry.
    keys : KeyAgeLimits
        Limits on the age of the view by which the keys of callers are checked.
    target_heartbeat_s : float
        Interval at which targets renew their entries in the store.
    """

    vm: str
    zone: ZoneId
    callers: str
    ready: str
    metrics: str = ""
    connect_timeout_s: float = 0.35
    answer_grace_s: float = 0.12
    drain_notice_s: float = 2.8
    drain_wait_s: float = 4.4
    drain_timeout_s: float = 7.4
    retry_after_s: float = 0.1
    keys: KeyAgeLimits = KeyAgeLimits()
    target_heartbeat_s: float = HEARTBEAT_S


__all__ = ["IngressSettings"]
