"""Operators that make concurrent changes, and polls of the version in force at each entry."""

import asyncio
import contextlib
import hashlib
import random

import msgspec
from tornado.httpclient import HTTPError
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from waxwingglade.base import ConfigVersion, EntryId, monotonic
from waxwingglade.connection.operator_messages import ConfigView, ProposalView
from waxwingglade.proof.history import ConfigAccepted, ConfigInForce, History
from waxwingglade.version import ProposalState

SALT = "salt"
ROLES = {"pekka": "proposer", "sanni": "proposer", "eero": "approver"}
PROPOSERS = ("pekka", "sanni")
APPROVER = "eero"
TREE = {
    "format": 1,
    "operators": ROLES,
    "firm": {"model_timeout_s": 6.0, "tool_timeout_s": 3.0},
}
SETTING = "queue_limit"
POLL_S = 0.25
MEAN_PAUSE_S = 0.5
TIMEOUT_S = 6.0
MAX_CLIENTS = 100


def token(operator: str) -> str:
    """Return an operator's bearer token."""
    return f"token-of-{operator}"


def operator_keys() -> list[dict[str, str]]:
    """Return the settings of the operators' keys."""
    return [
        {
            "operator": operator,
            "role": role,
            "salt": SALT,
            "sha256": hashlib.sha256(f"{SALT}{token(operator)}".encode()).hexdigest(),
        }
        for operator, role in ROLES.items()
    ]


class Operators:
    """Proposes and approves changes, and polls the configuration, until cancelled.

    Parameters
    ----------
    history : History
        Receives accepted versions and versions in force.
    urls : dict
        URL for operators of each entry.
    seed : int
        Determines the changes, and the entries to which they are sent.
    """

    def __init__(self, history: History, urls: dict[EntryId, str], seed: int) -> None:
        self.history = history
        self.urls = urls
        self.seed = seed
        self.client = SimpleAsyncHTTPClient(force_instance=True, max_clients=MAX_CLIENTS)

    async def run(self) -> None:
        """Run until cancelled."""
        polls = [self._poll_config(entry) for entry in self.urls]
        changes = [self._make_changes(proposer) for proposer in PROPOSERS]
        try:
            await asyncio.gather(*polls, *changes)
        finally:
            self.client.close()

    async def _poll_config(self, entry: EntryId) -> None:
        while True:
            view = await self._send(entry, APPROVER, "GET", "/v1/config", None, ConfigView)
            if view is not None:
                event = ConfigInForce(monotonic(), entry, ConfigVersion(view.version), view.hash)
                self.history.record(event)
            await asyncio.sleep(POLL_S)

    async def _make_changes(self, proposer: str) -> None:
        rng = random.Random(f"{self.seed}/{proposer}")
        entries = list(self.urls)
        while True:
            await asyncio.sleep(rng.uniform(0.5, 1.5) * MEAN_PAUSE_S)
            change = {"level": "firm", "setting": SETTING, "value": rng.randint(500, 1500)}
            body = {"changes": [change]}
            path = "/v1/config/proposals"
            proposal = await self._send(
                rng.choice(entries), proposer, "POST", path, body, ProposalView
            )
            if proposal is not None:
                # Two concurrent approvals at random entries, one of which accepts the proposal.
                await asyncio.gather(
                    *(self._approve(proposal, rng.choice(entries)) for _ in range(2))
                )

    async def _approve(self, proposal: ProposalView, entry: EntryId) -> None:
        path = f"/v1/config/proposals/{proposal.proposal.id}/approve"
        body = {"text_digest": proposal.text_digest}
        view = await self._send(entry, APPROVER, "POST", path, body, ProposalView)
        if view is None or view.proposal.state is not ProposalState.ACCEPTED:
            return
        assert view.proposal.version is not None
        self.history.record(ConfigAccepted(monotonic(), view.proposal.version))

    async def _send(self, entry: EntryId, operator: str, method: str, path: str, body, model: type):
        """Return the answer, or None if there is none or it is an error."""
        with contextlib.suppress(HTTPError, OSError):
            answer = await self.client.fetch(
                self.urls[entry] + path,
                method=method,
                headers={"Authorization": f"Bearer {token(operator)}"},
                body=None if body is None else msgspec.json.encode(body),
                connect_timeout=TIMEOUT_S,
                request_timeout=TIMEOUT_S,
            )
            return msgspec.json.decode(answer.body, type=model)
        return None
