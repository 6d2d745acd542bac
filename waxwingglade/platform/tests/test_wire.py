"""Tests of the decoding of headers, store entries and settings of the platform."""

import json
import tempfile
import unittest
from pathlib import Path
from string import ascii_letters

from hypothesis import given
from hypothesis import strategies as st

from waxwingglade.base import FormatError, SettingsError
from waxwingglade.base.credentials import digest_of
from waxwingglade.follow.model import CallKind, ClientAccount, ClientAccountId, Share
from waxwingglade.ingress.accounts import KeyAgeLimits
from waxwingglade.ingress.dialect import PromptPart, Send
from waxwingglade.platform.headers import read_answer, read_call, target_headers
from waxwingglade.platform.process import key_rules
from waxwingglade.platform.registry import decode_configuration, decode_target
from waxwingglade.platform.settings import Bounds, load_node_settings
from waxwingglade.transport import HttpResponse

SPELLINGS = (
    "Authorization",
    "AUTHORIZATION",
    "authorization",
    "X-Waxwingglade-Tenant",
    "x-waxwingglade-TENANT",
)
TURN = [
    ("Host", "Shop.example"),
    ("X-Waxwingglade-Request-Id", "r1"),
    ("x-waxwingglade-program-id", "p1"),
    ("X-Waxwingglade-Token-Budget", "4608"),
    ("X-Waxwingglade-Token-Count", "1840,576"),
    ("X-Waxwingglade-Prompt-Prefix", "5c1e:800, 91bd:410"),
    ("X-Waxwingglade-Previous-Turn", "r0"),
    ("X-Waxwingglade-Deadline-Ms", "3000"),
    ("X-Waxwingglade-Hold", "mine"),
    ("Kv-From", "10.0.0.1:1/2"),
    ("Connection", "keep-alive, X-Private"),
    ("X-Private", "secret"),
    ("Content-Length", "4"),
]


def entry(without: str = "", **fields: object) -> bytes:
    """Return a server's entry with some fields replaced, or one left out."""
    complete = {
        "service": "a",
        "address": "10.0.0.1:2",
        "zone": "z",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": 9,
        **fields,
    }
    complete.pop(without, None)
    return json.dumps(complete).encode()


class HeadersTest(unittest.TestCase):
    def test_a_turn_is_decoded(self) -> None:
        call = read_call("POST", "/a/b?c", TURN)
        self.assertEqual((call.request, call.program, call.host), ("r1", "p1", "shop.example"))
        self.assertEqual((call.token_budget, call.max_output_tokens), (4608, 576))
        self.assertEqual(call.prompt_parts, (PromptPart("5c1e", 800), PromptPart("91bd", 410)))
        self.assertEqual((call.previous_turn, call.deadline_s), ("r0", 3.0))

    def test_hop_by_hop_and_reserved_headers_are_not_forwarded(self) -> None:
        call = read_call("POST", "/", TURN)
        names = [name for name, _ in call.headers]
        self.assertEqual(
            names[:3], ["Host", "X-Waxwingglade-Request-Id", "x-waxwingglade-program-id"]
        )
        for name in ("X-Waxwingglade-Hold", "Kv-From", "X-Private", "Content-Length"):
            self.assertNotIn(name, names)

    def test_keys_are_not_forwarded_and_the_account_is_set_by_this_system(self) -> None:
        forged = [("X-WAXWINGGLADE-TENANT", "forged"), ("x-waxwingglade-tenant", "forged")]
        call = read_call("POST", "/", [*TURN, *forged, ("authorization", "Bearer secret-key")])
        self.assertEqual(["Bearer secret-key"], call.credentials)
        call.account = ClientAccountId("shop")
        headers = target_headers(call, Send("i-1", 1.0))
        self.assertNotIn("Bearer secret-key", [value for _, value in headers])
        accounts = [value for name, value in headers if name.lower() == "x-waxwingglade-tenant"]
        self.assertEqual(["shop"], accounts)

    @given(st.lists(st.tuples(st.sampled_from(SPELLINGS), st.text(ascii_letters, max_size=9))))
    def test_keys_and_accounts_in_any_spelling_are_not_forwarded(
        self, sent: list[tuple[str, str]]
    ) -> None:
        call = read_call("GET", "/", sent)
        self.assertEqual([], target_headers(call, Send("i-1", 1.0))[:-2])

    def test_the_remaining_time_is_sent(self) -> None:
        call = read_call("POST", "/", TURN)
        headers = target_headers(call, Send("i-1", 1.2345, 4, 7, 0.5))
        values = dict(headers)
        self.assertEqual(values["X-Waxwingglade-Deadline-Ms"], "1234")
        self.assertEqual(values["X-Waxwingglade-Expect-Instance"], "i-1")
        self.assertEqual(values["Last-Event-Id"], "7")
        self.assertEqual([name for name, _ in headers].count("X-Waxwingglade-Deadline-Ms"), 1)

    def test_errors_name_the_invalid_header(self) -> None:
        for name in ("X-Waxwingglade-Token-Count", "X-Waxwingglade-Deadline-Ms"):
            with self.assertRaisesRegex(FormatError, name):
                read_call("POST", "/", [(name, "many")])

    def test_certification_and_not_run_answers(self) -> None:
        seal = ("X-Waxwingglade-Server-Seal", "s")
        refused = read_answer(HttpResponse(503, [("X-Waxwingglade-Not-Run", "1")]))
        self.assertTrue(refused.not_run)
        self.assertTrue(read_answer(HttpResponse(421, [])).not_run)
        self.assertFalse(read_answer(HttpResponse(503, [seal])).not_run)
        self.assertTrue(read_answer(HttpResponse(200, [seal])).certified)
        coded = read_answer(HttpResponse(200, [seal, ("Content-Encoding", "gzip")]))
        self.assertFalse(coded.certified)

    def test_an_invalid_load_is_ignored(self) -> None:
        load = ("X-Waxwingglade-Server-Load", "3,1,8")
        self.assertEqual(read_answer(HttpResponse(200, [load])).load.waiting, 1)
        self.assertIsNone(read_answer(HttpResponse(200, [(load[0], "many")])).load)

    def test_a_load_may_tell_how_long_work_takes(self) -> None:
        def stretch(value: str) -> float | None:
            return read_answer(
                HttpResponse(200, [("X-Waxwingglade-Server-Load", value)])
            ).load.stretch

        self.assertIsNone(stretch("3,1,8"))
        self.assertEqual(stretch("3,1,8,250"), 2.5)
        self.assertEqual(stretch("3,1,8,100,7"), 1.0)
        for invalid in ("0", "-100", "", "many", "1e3", "nan", "9" * 400):
            self.assertIsNone(stretch(f"3,1,8,{invalid}"))


class RegistryTest(unittest.TestCase):
    def test_a_configuration_is_decoded(self) -> None:
        split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
        route = {
            "name": "r",
            "host": "h",
            "path_prefix": "/p/",
            "kind": "streaming",
            "timeout_ms": 3000,
            "traffic_split": split,
            "retain": True,
            "unknown": 1,
        }
        service = {"name": "a", "engine": {"slots": 16, "kv_capacity": 9, "stride": 30}}
        value = json.dumps({"version": 7, "routes": [route], "services": [service]})
        configuration = decode_configuration(value.encode())
        read = configuration.routes[0]
        self.assertEqual((configuration.version, read.kind), (7, CallKind.STREAM))
        self.assertEqual(read.shares, (Share("a", 90), Share("b", 10)))
        self.assertTrue(read.keeps_turns)
        self.assertFalse(read.idempotent)
        self.assertEqual(configuration.services[0].engine.tokens_per_event, 30)

    def test_a_health_path_that_is_none_is_not_used(self) -> None:
        """Guards against a configuration that is not accepted, or a probe that is no request."""
        for path, expected in (
            ("/health?x=1", "/health?x=1"),
            ("", ""),
            (None, ""),
            ("health", ""),
            ("/a b", ""),
            ("/a\r\nX: 1", ""),
        ):
            with self.subTest(path=path):
                service = {"name": "a", "health_path": path}
                value = json.dumps({"version": 1, "services": [service]}).encode()
                self.assertEqual(decode_configuration(value).services[0].health_path, expected)

    def test_client_accounts_are_decoded(self) -> None:
        route = {"name": "r", "host": "h", "path_prefix": "/", "kind": "safe", "public": True}
        tenant = {"name": "shop", "api_keys": ["k1", "k2"], "priority": 1, "rate_per_s": 198}
        bare = {"name": "bare", "priority": None, "rate_per_s": None, "burst": None}
        value = json.dumps({"version": 1, "routes": [route], "tenants": [tenant, bare]}).encode()
        read = decode_configuration(value)
        self.assertTrue(read.routes[0].public)
        keys = (digest_of("k1"), digest_of("k2"))
        accounts = (ClientAccount("shop", keys, 1, 198), ClientAccount("bare"))
        self.assertEqual(accounts, read.accounts)
        without = decode_configuration(json.dumps({"version": 1}).encode())
        self.assertIsNone(without.accounts)

    def test_errors_name_an_invalid_client_account_without_its_keys(self) -> None:
        for fields in ({"rate_per_s": -1}, {"burst": -0.5}, {"api_keys": "secret"}, {"name": ""}):
            tenant = {"name": "shop", "api_keys": ["secret"], **fields}
            value = json.dumps({"version": 1, "tenants": [tenant]}).encode()
            with self.assertRaisesRegex(FormatError, "tenant") as refused:
                decode_configuration(value)
            self.assertNotIn("secret", str(refused.exception))

    def test_the_wait_limit_for_events_is_the_longest_of_three(self) -> None:
        for fields, wait_limit_s in (
            ({}, 2.0),
            ({"target_latency_ms": 250}, 2.0),
            ({"target_latency_ms": 600}, 2.4),
            ({"target_latency_ms": 250, "target_gap_ms": 400}, 3.2),
        ):
            with self.subTest(fields=fields):
                turns = {
                    "name": "t",
                    "host": "h",
                    "path_prefix": "/",
                    "kind": "streaming",
                    **fields,
                }
                value = {"version": 1, "routes": [turns], "services": [], "limits": {}}
                read = decode_configuration(json.dumps(value).encode())
                self.assertEqual(wait_limit_s, read.routes[0].patience_s)

    def test_a_target_is_decoded(self) -> None:
        target = decode_target("servers/i-1", entry(state="draining"))
        self.assertEqual((target.target, target.leaving, target.slots), ("i-1", True, 4))
        self.assertEqual((target.address, target.started_ms), ("10.0.0.1:2", None))
        self.assertEqual(decode_target("servers/i-1", entry(born=1_700)).started_ms, 1_700)

    def test_an_entry_of_another_writer_is_rejected(self) -> None:
        wrong = {
            "service": ["", None, 3],
            "address": ["10.0.0.1", "10.0.0.1:99999999", "10.0.0.1:0", ":80", "host:80", 5],
            "zone": ["", None],
            "version": [7, None],
            "slots": [-3, 0, "4", 2.5, True],
            "state": ["sleeping", "", None, 1],
            "cold_left_ms": ["0", -1],
            "seq": ["9", 1.5],
            "born": [1.5, "now", True],
        }
        for field, values in wrong.items():
            for value in values:
                with self.subTest(field=field, value=value), self.assertRaises(FormatError):
                    decode_target("servers/i", entry(**{field: value}))
        for field in set(wrong) - {"born"}:
            with self.subTest(missing=field), self.assertRaises(FormatError):
                decode_target("servers/i", entry(without=field))

    def test_errors_name_the_invalid_entry(self) -> None:
        with self.assertRaisesRegex(FormatError, "configuration"):
            decode_configuration(b'{"version":"x"}')
        with self.assertRaisesRegex(FormatError, "servers/i"):
            decode_target("servers/i", b"{}")


class KeyRulesTest(unittest.TestCase):
    def test_ages_follow_from_the_settings(self) -> None:
        strict = key_rules(Bounds(config_apply_ms=3000, strict_revoke=True, revoke_ms=5000))
        self.assertEqual(KeyAgeLimits(5.0, 3.0, 3.0), strict)
        self.assertEqual(KeyAgeLimits(max_deny_age_s=3.0), key_rules(Bounds(config_apply_ms=3000)))


class SettingsTest(unittest.TestCase):
    def load(self, text: str) -> object:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "boot.yaml"
            path.write_text(text)
            return load_node_settings(path)

    def test_unknown_fields_are_ignored(self) -> None:
        settings = self.load(
            "{node_name: n, serves: [front], ip: 1.2.3.4, zone: z, port_range: [1, 2],"
            " provider: {address: 'a:1'}, news: 1}"
        )
        self.assertEqual(settings.port_range, (1, 2))

    def test_errors_name_the_fault(self) -> None:
        with self.assertRaisesRegex(SettingsError, "node_name"):
            self.load("{serves: []}")
        with self.assertRaisesRegex(SettingsError, "boot.yaml"):
            self.load("{")
