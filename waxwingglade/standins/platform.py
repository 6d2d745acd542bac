"""Stand-in for the platform's list of VMs, which lags behind the real state."""

from enum import Enum
from http import HTTPStatus

import msgspec
from tornado.web import RequestHandler

from waxwingglade.base import Clock, ZoneId, monotonic
from waxwingglade.standins.server import StandinServer


class VMState(Enum):
    """State of a VM; the platform is about to remove a leaving VM."""

    LIVE = "live"
    LEAVING = "leaving"


class VM(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One VM as the platform lists it."""

    vm: str
    zone: ZoneId
    state: VMState
    address: str


class VMListing(msgspec.Struct, frozen=True):
    """The list of VMs from a time on, in seconds of the clock."""

    since: float
    vms: list[VM]


class PlatformStandin:
    """Lists VMs with a delay.

    ``GET /vms`` returns the list; ``POST /standin/vms`` replaces it after the delay.

    Parameters
    ----------
    lag_s : float
        Delay of a change in seconds.
    clock : Clock
        Time source, in seconds.
    """

    def __init__(self, lag_s: float = 0.0, clock: Clock = monotonic) -> None:
        self.lag_s = lag_s
        self.clock = clock
        self.listings: list[VMListing] = []
        self.server = StandinServer(
            [
                (r"/vms", ListHandler, {"standin": self}),
                (r"/standin/vms", SetHandler, {"standin": self}),
            ]
        )

    @property
    def url(self) -> str:
        """Base URL of the stand-in."""
        return self.server.url

    @property
    def vms_url(self) -> str:
        """URL of the list."""
        return f"{self.url}/vms"

    async def start(self, port: int = 0) -> None:
        """Listen; port 0 selects a free one."""
        self.server.start(port)

    async def stop(self) -> None:
        """Close the listener and every connection."""
        await self.server.stop()

    def set_vms(self, vms: list[VM]) -> None:
        """Change the VMs; the list changes after the lag."""
        self.listings.append(VMListing(self.clock(), vms))

    def vms(self) -> list[VM]:
        """Return the VMs as of `lag_s` seconds ago."""
        visible = [
            listing for listing in self.listings if listing.since <= self.clock() - self.lag_s
        ]
        if not visible:
            return []
        self.listings = self.listings[len(visible) - 1 :]
        return visible[-1].vms


class ListHandler(RequestHandler):
    """Returns the list."""

    def initialize(self, standin: PlatformStandin) -> None:
        """Set the stand-in; called by tornado."""
        self.standin = standin

    def get(self) -> None:
        """Answer with the listed VMs."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(self.standin.vms()))


class SetHandler(RequestHandler):
    """Changes the VMs."""

    def initialize(self, standin: PlatformStandin) -> None:
        """Set the stand-in; called by tornado."""
        self.standin = standin

    def post(self) -> None:
        """Replace the VMs with those of the body."""
        try:
            vms = msgspec.json.decode(self.request.body, type=list[VM])
        except msgspec.MsgspecError as error:
            self.set_status(HTTPStatus.BAD_REQUEST)
            self.finish(str(error))
            return
        self.standin.set_vms(vms)


__all__ = ["VM", "PlatformStandin", "VMState"]
