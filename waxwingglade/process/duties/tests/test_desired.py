"""The desired state of targets: validation, concurrent changes and unknown formats."""

import msgspec

from waxwingglade.base import ErrorCode, TargetId
from waxwingglade.connection.tests.store_builders import StoreTestCase, refusal, write_directly
from waxwingglade.process.duties.desired import (
    DesiredTarget,
    DesiredZone,
    change_desired,
    check_desired,
    check_target,
    key_of,
    read_desired,
)
from waxwingglade.process.duties.tests.builders import ENGINE, OPERATOR, ZONE, engine_settings
from waxwingglade.settings import TargetKind

OTHER = TargetId("engine-2")
STATE = DesiredTarget(["base@2"], ["tone"], "decode")


class Validation(StoreTestCase):
    def test_an_invalid_desired_state_is_rejected(self):
        self.assertIsNone(check_desired(STATE))
        for wrong in (
            DesiredTarget([]),
            DesiredTarget([], ["tone"]),
            DesiredTarget(["base", "base"]),
            DesiredTarget(["base"], ["base"]),
            DesiredTarget([""]),
            DesiredTarget(["a b"]),
            DesiredTarget(["base"], [], "\n"),
        ):
            with self.subTest(wrong):
                self.assertEqual(ErrorCode.BAD_REQUEST, check_desired(wrong).code)

    def test_only_engines_in_the_settings_get_orders(self):
        engine = engine_settings("engine-1", "http://127.0.0.1:9")
        service = msgspec.structs.replace(engine, kind=TargetKind.SERVICE)
        self.assertIsNone(check_target(engine))
        self.assertEqual(ErrorCode.NOT_FOUND, check_target(None).code)
        self.assertEqual(ErrorCode.BAD_REQUEST, check_target(service).code)


class Changes(StoreTestCase):
    def change(self, target, desired, base=None):
        return change_desired(self.client, ZONE, target, desired, OPERATOR, 1.0, base)

    async def test_a_change_increases_the_version_and_leaves_other_targets(self):
        await self.change(ENGINE, STATE)
        await self.change(OTHER, STATE, 1)
        again = (await self.change(OTHER, STATE)).unwrap()
        self.assertEqual(2, again.version)
        await self.change(ENGINE, None)
        stored = (await read_desired(self.client, ZONE)).unwrap()
        self.assertEqual((3, {OTHER: STATE}), (stored.version, stored.targets))
        self.assertEqual(OPERATOR, stored.zone.proposer)

    async def test_one_of_two_concurrent_changes_is_rejected(self):
        await self.change(ENGINE, STATE)
        stale = await refusal(self.change(ENGINE, DesiredTarget(["base"]), 0))
        self.assertEqual(ErrorCode.CONFLICT, stale[1])
        get = self.client.get

        async def get_late(key):
            found = await get(key)
            self.client.get = get
            (await self.change(OTHER, STATE)).unwrap()
            return found

        self.client.get = get_late
        raced = await refusal(self.change(ENGINE, DesiredTarget(["base"])))
        self.assertEqual(ErrorCode.CONFLICT, raced[1])
        stored = (await read_desired(self.client, ZONE)).unwrap()
        self.assertEqual({ENGINE: STATE, OTHER: STATE}, stored.targets)

    async def test_an_unreadable_record_is_not_overwritten(self):
        newer = msgspec.json.encode(DesiredZone(99, 1, {}, OPERATOR, 0.0))
        for data in (b"{no json", newer):
            write_directly(self.standin, key_of(ZONE), data)
            self.assertEqual(ErrorCode.VERSION, (await refusal(self.change(ENGINE, STATE)))[1])
            self.assertEqual(data, (await self.client.get(key_of(ZONE))).unwrap().value)
