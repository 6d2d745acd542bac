"""Short soak runs in which the store withholds changes, and tests of their checks."""

import asyncio
import unittest
from pathlib import Path

import msgspec

from tests.platform_cluster import CALL
from tests.prove.relay import ADDRESS, Relays
from tests.soak.checks import check
from tests.soak.cluster import SoakServer
from tests.soak.cut_heads import HeadCut, Place, send_cut
from tests.soak.gap_allowance import allowance_s
from tests.soak.kinds import EVERYWHERE, FaultKind, FaultOccurrence
from tests.soak.leaving_targets import DRAIN_DETECTION_S, check_left
from tests.soak.run import Size, soak
from tests.soak.store_gaps import APPLY_S, MISSING, SERVED, Probe, check_added_routes
from tests.soak.workload import Attempt
from waxwingglade.standins.metadata_store import ListingCut, MetadataStore
from waxwingglade.standins.registered_server import Run, answer_to

ARTIFACTS = Path("runs/soak")
KINDS = (
    *(FaultKind.HIDDEN_CHANGES,) * 4,
    FaultKind.SILENT_WATCHES,
    FaultKind.CUT_LISTINGS,
    FaultKind.CUT_HEADS,
    FaultKind.HUP,
    FaultKind.STOP_ENTRY,
)
SHORT = Size(seconds=5.0, entries=2, programs=4, plain=4, kinds=KINDS, sub_agents=0, fatal=0)
SHORT_ODD = msgspec.structs.replace(
    SHORT, seconds=3.0, kinds=(FaultKind.ODD_ENTRIES, FaultKind.HIDDEN_CHANGES)
)
SEED = 69005
ODD_SEED = 69001
CHANGED_AT = 100.0
LEDGERS = ("storage-0", "storage-1", "storage-2", "storage-3")
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n"


def fault(kind: FaultKind, where: str = "store", seconds: float = 1.0) -> FaultOccurrence:
    """Return a fault that begins half a second before the change."""
    return FaultOccurrence(kind, where, CHANGED_AT - 0.5, CHANGED_AT - 0.5 + seconds)


class ShortSoak(unittest.IsolatedAsyncioTestCase):
    async def test_no_change_is_missed_that_the_store_withholds_for_a_while(self) -> None:
        await self.check(SEED, SHORT)

    async def test_odd_entries_keep_no_process_from_changes(self) -> None:
        await self.check(ODD_SEED, SHORT_ODD)

    async def check(self, seed: int, size: Size) -> None:
        """Run a seed, and check that there were answers, faults and no violations."""
        outcome = await soak(seed, size, ARTIFACTS)
        self.assertEqual(outcome.violations, [])
        self.assertGreater(outcome.served, 0)
        self.assertGreater(outcome.faults, 0)


class Checks(unittest.TestCase):
    def test_a_gap_prolongs_a_bound_by_its_rest_only(self) -> None:
        gap = fault(FaultKind.HIDDEN_CHANGES)
        self.assertEqual(allowance_s([gap], CHANGED_AT, APPLY_S), 0.5)
        self.assertEqual(allowance_s([gap], CHANGED_AT + 1.0, APPLY_S), 0.0)
        self.assertEqual(allowance_s([fault(FaultKind.ODD_ENTRIES)], CHANGED_AT, APPLY_S), 0.0)

    def test_a_route_that_is_missing_or_not_served_is_found(self) -> None:
        self.assertEqual(self.check_probe(SERVED), [])
        for status in (MISSING, 503, 0):
            with self.subTest(status):
                self.assertEqual(len(self.check_probe(status)), 1)

    def test_only_faults_that_keep_an_entry_from_learning_excuse_a_missing_route(self) -> None:
        for kind, where, expected in (
            (FaultKind.STORE_SILENT, "store", 0),
            (FaultKind.KILL_ALL, EVERYWHERE, 0),
            (FaultKind.STORE_SILENT, "front-1", 1),
            (FaultKind.HIDDEN_CHANGES, "store", 1),
            (FaultKind.ODD_ENTRIES, "store", 1),
            (FaultKind.KILL_ENTRY, "front-0", 1),
        ):
            with self.subTest(kind=kind, where=where):
                violations = self.check_probe(MISSING, fault(kind, where))
                self.assertEqual(len(violations), expected)

    def test_processes_that_learn_of_no_changes_excuse_no_interruption(self) -> None:
        self.assertFalse(fault(FaultKind.HIDDEN_CHANGES, "front-0 storage-1").affects("front-0"))

    def test_a_request_after_the_gap_and_the_bound_is_late(self) -> None:
        for late_s, expected in ((0.4, 0), (0.6, 1)):
            began_at = CHANGED_AT + DRAIN_DETECTION_S + late_s
            run = Run("a", "POST", CALL, {}, b"", began_at)
            gaps = [fault(FaultKind.HIDDEN_CHANGES)]
            found = check_left("i-1", CHANGED_AT, [run], {"a": "front-0"}, gaps, LEDGERS)
            self.assertEqual(len(found), expected)

    def test_a_complete_answer_that_lacks_bytes_is_found_whatever_its_id(self) -> None:
        for answer, expected in ((answer_to(b"asks"), 0), (answer_to(b"asks")[:-1], 1)):
            attempt = Attempt("a", CALL, "front-0", 1.0, b"asks", status=200, answer=answer)
            self.assertEqual(check([attempt], []), [])
            attempt.framed = True
            self.assertEqual(len(check([attempt], [])), expected)

    def check_probe(self, status: int, *faults: FaultOccurrence) -> list[str]:
        """Check a request that was sent as soon as the route had to be in force."""
        due_at = CHANGED_AT + APPLY_S
        probe = Probe("/gap1/", "front-0", CHANGED_AT, due_at, due_at + 0.1, status)
        return check_added_routes([probe], faults, LEDGERS)


class StandIns(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.store = MetadataStore()
        self.store.start()
        self.addAsyncCleanup(self.store.stop)

    async def ask(self, path: str) -> bytes:
        """Return the complete answer of the store to one call."""
        reader, writer = await asyncio.open_connection(*self.store.address.split(":"))
        head = f"GET {path} HTTP/1.1\r\nHost: {self.store.address}\r\nConnection: close\r\n\r\n"
        writer.write(head.encode())
        try:
            return await reader.read()
        finally:
            writer.close()

    async def test_a_silent_watch_gets_nothing_until_it_is_cut(self) -> None:
        self.store.silences_watches = True
        watch = asyncio.create_task(self.ask("/v1/kv-watch?path_prefix=&after=0&wait_ms=10"))
        await asyncio.sleep(0.1)
        self.store.put("a", 1)
        await asyncio.sleep(0.1)
        self.assertFalse(watch.done())
        self.store.cut_watches()
        self.assertEqual(await watch, b"")

    async def test_a_listing_is_cut_in_its_body_or_between_its_pages(self) -> None:
        for key in ("a", "b"):
            self.store.put(key, 1)
        listing = "/v1/kv-range?path_prefix="
        self.store.listing_cut = ListingCut.BODY
        head, _, body = (await self.ask(listing)).partition(b"\r\n\r\n")
        self.assertNotIn(b"Content-Length: %d\r\n" % len(body), head)
        self.assertGreater(len(body), 0)
        self.store.listing_cut, self.store.page_items = ListingCut.LATER_PAGE, 1
        self.assertIn(b'"has_more": true', await self.ask(listing))
        self.assertEqual(await self.ask(listing + "&after=a"), b"")

    async def test_changes_are_hidden_from_the_blind_only(self) -> None:
        watch = "/v1/kv-watch?path_prefix=&after=0&wait_ms=10"
        self.store.hides_changes = True
        self.store.blind = {"another"}
        self.store.put("a", 1)
        self.assertIn(b'"key": "a"', await self.ask(watch))
        self.store.blind = {self.store.address}
        self.store.put("b", 1)
        self.assertNotIn(b'"key": "b"', await self.ask(watch))

    async def test_a_reset_within_a_head_passes_a_relay_as_a_reset(self) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read(100)
            await send_cut(writer, HeadCut(Place.BLANK_LINE, 0.0, resets), HEAD)
            writer.close()

        server = await asyncio.start_server(serve, ADDRESS, 0)
        self.addCleanup(server.close)
        relays = Relays(dict)
        self.addAsyncCleanup(relays.close)
        relays.passes_resets = True
        port = await relays.add(1, server.sockets[0].getsockname()[1], source=0)
        for resets in (False, True):
            reader, writer = await asyncio.open_connection(ADDRESS, port)
            writer.write(b"asks")
            self.assertEqual(await reader.readexactly(len(HEAD) - 2), HEAD[:-2])
            if resets:
                with self.assertRaises(ConnectionResetError):
                    await reader.read()
            else:
                self.assertEqual(await reader.read(), b"")
            writer.close()


class ServersThatCut(unittest.IsolatedAsyncioTestCase):
    async def test_a_head_is_cut_though_cuts_end_while_the_request_runs(self) -> None:
        server = SoakServer(MetadataStore(), "notes", event_s=0.05)
        await server.listen()
        server.head_cut = HeadCut(Place.BLANK_LINE, 0.0, resets=False)
        reader, writer = await asyncio.open_connection(*server.address.split(":"))
        writer.write(b"POST / HTTP/1.1\r\n\r\n")
        asyncio.get_running_loop().call_later(0.01, setattr, server, "head_cut", None)
        async with asyncio.timeout(1.0):
            head = await reader.read()
        self.assertTrue(head.startswith(b"HTTP/1.1 200") and not head.endswith(b"\r\n\r\n"))
        writer.close()
        assert server.server is not None
        server.server.close()


class HeadCuts(unittest.TestCase):
    def test_each_cut_ends_within_its_part_of_the_head(self) -> None:
        lines_end = len(HEAD) - 2
        for place, first, last in (
            (Place.STATUS_LINE, 1, HEAD.index(b"\r\n")),
            (Place.HEADER, HEAD.index(b"\r\n"), lines_end - 2),
            (Place.BLANK_LINE, lines_end, lines_end),
        ):
            sizes = [len(HeadCut(place, at, False).part_of(HEAD)) for at in (0.0, 0.5, 1.0)]
            self.assertEqual((sizes[0], sizes[-1]), (first, last))
            self.assertTrue(all(HEAD.startswith(HEAD[:size]) for size in sizes))


if __name__ == "__main__":
    unittest.main()
