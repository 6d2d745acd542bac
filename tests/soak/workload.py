"""Callers of a soak run: programs of turns, plain calls, and records of their requests."""

import asyncio
import itertools
import random
import time

import msgspec

from tests.platform_cluster import CALL, HOST, ORDER, STREAM, TOKENS_PER_EVENT, Node
from tests.prove.relay import ADDRESS
from tests.soak.accounts import FREE, LIMITED
from tests.soak.cluster import SoakCluster
from waxwingglade.base import WaxwinggladeError
from waxwingglade.transport import Http1Connection, HttpRequest, open_connection
from waxwingglade.transport.messages import HttpResponse

MAX_TURN_TOKENS = 40
"""Most tokens of a turn: four events with ten tokens each."""

BUDGETS = (80, 120, 400)
REQUEST_TIMEOUT_S = 6.0
"""Timeout of a request in seconds; longer than the routes' timeout of 5 s."""

MAX_PAUSE_S = 0.15
MAX_PRESS_PAUSE_S = 0.03
NO_ANSWER = 0


class Attempt(msgspec.Struct):
    """One request of a caller, and its answer.

    Parameters
    ----------
    status : int
        Status of the answer; 0 if there was none.
    whole : bool
        Whether the answer was complete and has the id of the request.
    framed : bool
        Whether the answer was complete, whatever its id.
    events : int
        Number of complete events received.
    account, key : str
        Client account, and the key that was sent; empty if callers need no keys.
    """

    request: str
    path: str
    entry: str
    sent_at: float
    body: bytes
    previous: str | None = None
    program: str | None = None
    budget: int = 0
    status: int = NO_ANSWER
    whole: bool = False
    answer: bytes = b""
    ended_at: float = 0.0
    account: str = ""
    key: str = ""
    framed: bool = False

    @property
    def events(self) -> int:
        """Number of complete events with data received; comments have none."""
        return sum(b"data: " in event for event in self.answer.split(b"\n\n")[:-1])

    @property
    def tokens(self) -> int:
        """Number of tokens received."""
        return self.events * TOKENS_PER_EVENT


class Callers:
    """Callers that send requests until `stopping` is set."""

    def __init__(self, cluster: SoakCluster, rng: random.Random) -> None:
        self.cluster = cluster
        self.rng = rng
        self.attempts: list[Attempt] = []
        self.numbers = itertools.count(1)
        self.press_numbers = itertools.count(1)
        self.idle_connections: dict[str, list[Http1Connection]] = {}
        self.stopping = False

    async def run(self, programs: int, plain: int, pressing: int = 0) -> None:
        """Run callers concurrently until `stopping` is set.

        The `pressing` ones keep the limited account at its limit.
        """
        tasks = [self._programs(index) for index in range(programs)]
        tasks += [self._plain_calls() for _ in range(plain)]
        tasks += [self._press() for _ in range(pressing)]
        await asyncio.gather(*tasks)

    async def _programs(self, index: int) -> None:
        for number in itertools.count():
            if self.stopping:
                return
            await self._program(f"p{index}-{number}")

    async def _program(self, program: str) -> None:
        """Run turns that each continue one of the last two turns, until the budget is spent."""
        account = self.draw_account()
        budget = self.rng.choice(BUDGETS)
        turns: list[str] = []
        for number in range(12):
            if self.stopping:
                return
            previous = self.rng.choice(turns[-2:]) if turns else None
            body = f"{program} asks {number}".encode()
            attempt = await self.send(STREAM, body, previous, program, budget, account=account)
            if attempt.status == 200 and attempt.whole:
                turns.append(attempt.request)
            elif attempt.status in (402, 404):
                return
            await asyncio.sleep(self.rng.random() * MAX_PAUSE_S)

    async def _plain_calls(self) -> None:
        while not self.stopping:
            path = self.rng.choice([CALL, ORDER])
            body = f"call {self.rng.random()}".encode()
            await self.send(path, body, account=self.draw_account())
            await asyncio.sleep(self.rng.random() * MAX_PAUSE_S)

    async def _press(self) -> None:
        """Send requests of the limited account, as many as it is granted and more."""
        while not self.stopping:
            path = self.rng.choice([CALL, CALL, STREAM])
            number = next(self.press_numbers)
            await self.send(path, f"press {number}".encode(), account=LIMITED)
            await asyncio.sleep(self.rng.random() * MAX_PRESS_PAUSE_S)

    def draw_account(self) -> str:
        """Return a random account for a program or call, or empty if callers need no keys."""
        accounts = self.cluster.accounts
        return "" if accounts is None else accounts.rng.choice((FREE, LIMITED))

    async def send(
        self,
        path: str,
        body: bytes,
        previous: str | None = None,
        program: str | None = None,
        budget: int = 0,
        entry: Node | None = None,
        account: str = FREE,
        patience_s: float = REQUEST_TIMEOUT_S,
    ) -> Attempt:
        """Send a request to an entry, by default a random one, and record the answer.

        The caller gives up after `patience_s` seconds.
        """
        entry = entry or self.rng.choice(self.cluster.entries)
        attempt = Attempt(
            f"r{next(self.numbers)}",
            path,
            entry.name,
            time.monotonic(),
            body,
            previous,
            program,
            budget,
        )
        if self.cluster.accounts is not None:
            attempt.account = account
            attempt.key = self.cluster.accounts.draw_key(account)
        self.attempts.append(attempt)
        try:
            async with asyncio.timeout(patience_s):
                await self._exchange(entry, attempt)
        except (WaxwinggladeError, TimeoutError):
            pass
        attempt.ended_at = time.monotonic()
        return attempt

    async def _exchange(self, entry: Node, attempt: Attempt) -> None:
        connection = await self._connection(entry)
        try:
            connection.send(HttpRequest("POST", attempt.path, headers_of(attempt), attempt.body))
            head = await connection.read_head(lambda _: True)
            attempt.status = head.status
            while (piece := await connection.read_piece()) is not None:
                attempt.answer += piece
            attempt.framed = True
            attempt.whole = _has_own_id(head, attempt)
        except BaseException:
            connection.close()
            raise
        if connection.usable:
            self.idle_connections.setdefault(entry.name, []).append(connection)

    async def _connection(self, entry: Node) -> Http1Connection:
        """Return an idle connection if there is one, even if its entry has restarted since."""
        idle_connections = self.idle_connections.get(entry.name, [])
        while idle_connections:
            connection = idle_connections.pop()
            if connection.usable:
                return connection
        return await open_connection(f"{ADDRESS}:{entry.caller_port}", 1.0)


def _has_own_id(head: HttpResponse, attempt: Attempt) -> bool:
    return head.header("X-Waxwingglade-Request-Id") == attempt.request


def headers_of(attempt: Attempt) -> list[tuple[str, str]]:
    """Return the headers of a request."""
    pairs = [("Host", HOST), ("X-Waxwingglade-Request-Id", attempt.request)]
    if attempt.key:
        pairs.append(("Authorization", f"Bearer {attempt.key}"))
    if attempt.program is not None:
        pairs += [
            ("X-Waxwingglade-Program-Id", attempt.program),
            ("X-Waxwingglade-Token-Budget", str(attempt.budget)),
            ("X-Waxwingglade-Token-Count", f"10,{MAX_TURN_TOKENS}"),
        ]
    if attempt.previous is not None:
        pairs.append(("X-Waxwingglade-Previous-Turn", attempt.previous))
    return pairs
