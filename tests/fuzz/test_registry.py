"""Arbitrary values in the platform's store under the keys of servers and of the configuration."""

import unittest

import msgspec
from hypothesis import given, settings

from tests.fuzz.builders import FIXED
from tests.fuzz.stored_values import TARGET, configuration_values, target_keys, target_values
from waxwingglade.base import FormatError, monotonic
from waxwingglade.follow.items import ItemDecoder
from waxwingglade.follow.messages import Followed
from waxwingglade.follow.model import Configuration, Revision, Target, TargetList, View
from waxwingglade.follow.store import Item
from waxwingglade.follow.targets import RegisteredTargets
from waxwingglade.ingress.dialect import Call, RequestId, Send
from waxwingglade.ingress.routes import RouteTable
from waxwingglade.ingress.target_state import TargetState
from waxwingglade.ledger.messages import LedgerMessage
from waxwingglade.platform.headers import target_headers
from waxwingglade.platform.registry import decode_configuration, decode_target
from waxwingglade.transport import HttpRequest
from waxwingglade.transport.links import Codec

MORE = settings(FIXED, max_examples=600)
ENTRY = msgspec.json.encode(TARGET)
LONGEST_ERROR = 400
"""Characters of the longest error, however long the invalid value is."""


class RegistryEntries(unittest.TestCase):
    def check_carried(self, view: View) -> None:
        """Check that a view arrives unchanged at the processes that follow this one."""
        codec = Codec(LedgerMessage)
        self.assertEqual(
            (1, Followed(view, 0.0)), codec.decode(codec.encode(1, Followed(view, 0.0)))
        )
        self.assertEqual(view, msgspec.json.decode(msgspec.json.encode(view), type=View))

    def check_target(self, target: Target) -> None:
        """Check that a target has a valid address, and that requests can be sent to it."""
        host, _, port = target.address.rpartition(":")
        self.assertEqual(len(host.split(".")), 4)
        self.assertIn(int(port), range(1, 65_536))
        self.assertGreater(target.slots, 0)
        self.assertTrue(target.service and target.zone)
        self.check_carried(View(targets=TargetList(Revision(1), (target,) * 3)))
        state = TargetState(target, monotonic)
        self.assertGreater(float(state.slots), 0)
        self.assertGreaterEqual(state.as_engine(1.0, 1.0, 1.0).slots, 1)
        self.check_headers(Send(target.target, 1.0))

    def check_headers(self, send: Send, account: str | None = None) -> None:
        """Check that a request with the headers of a sending can be encoded."""
        call = Call(RequestId("r"), "GET", "/", "shop.example", [])
        call.account = account
        encoded = HttpRequest("GET", "/", target_headers(call, send)).encode().decode("latin-1")
        for name in {send.target, account} - {None}:
            self.assertIn(f": {name}\r\n", encoded)

    def check_configuration(self, configuration: Configuration) -> None:
        """Check that requests can be matched to the routes of a configuration."""
        self.check_carried(View(configuration))
        table = RouteTable(configuration)
        for route in configuration.routes:
            table.match(route.host, route.prefix)
            self.assertIn(
                table.service_for(route, "key"), [share.service for share in route.shares]
            )
        for account in configuration.accounts or ():
            self.check_headers(Send("i-1", 1.0), account.name)

    @MORE
    @given(target_keys, target_values)
    def test_an_entry_names_a_target_to_use_or_none(self, key, value):
        try:
            target = decode_target(key, value)
        except FormatError as error:
            self.assertLess(len(str(error)), LONGEST_ERROR)
        else:
            self.check_target(target)

    @MORE
    @given(configuration_values)
    def test_a_configuration_is_usable_or_rejected(self, value):
        try:
            configuration = decode_configuration(value)
        except FormatError as error:
            self.assertLess(len(str(error)), LONGEST_ERROR)
        else:
            self.check_configuration(configuration)

    @FIXED
    @given(target_values)
    def test_an_entry_that_names_none_takes_its_target_and_no_other(self, value):
        registered = RegisteredTargets(decode_target, ItemDecoder())
        sound = [Item(f"servers/{name}", ENTRY, Revision(1)) for name in ("a", "b")]
        registered.apply(sound, Revision(1), complete=True)
        registered.apply([Item("servers/b", value, Revision(2))], Revision(2), complete=False)
        self.assertIn("servers/a", registered.targets)
        try:
            named = decode_target("servers/b", value)
        except FormatError:
            self.assertNotIn("servers/b", registered.targets)
        else:
            self.assertEqual(registered.targets["servers/b"], named)
