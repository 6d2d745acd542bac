"""Orders to engines: when they are delayed, how states are read back, and what is repeated."""

import msgspec

from waxwingglade.base import TargetId
from waxwingglade.connection.tests.store_builders import write_directly
from waxwingglade.process.duties.lease import LastOrders, orders_key
from waxwingglade.process.duties.tests.builders import (
    ZONE,
    Holder,
    OrdersTestCase,
    entry_ref,
    until,
)
from waxwingglade.settings import WeightStoreSettings

FOREVER_S = 1e6


def note(holder):
    """Return the note in the last report of a holder."""
    return holder.reports[-1].note if holder.reports else ""


def orders(engine):
    """Return the orders that an engine received."""
    return [each.subject for each in engine.controls if each.kind == "order"]


class WaitOut(OrdersTestCase):
    def store_previous_holder(self):
        """Store a record by which orders of an earlier holder may still be in flight."""
        last = LastOrders(1, entry_ref("before"), 1, FOREVER_S)
        write_directly(self.standin, orders_key(ZONE), msgspec.json.encode(last))

    async def test_an_unprotected_engine_gets_no_order_before_the_wait_is_over(self):
        engine = await self.start_engine()
        self.store_previous_holder()
        await self.set_desired("new")
        holder = await self.start_holder("first")
        await until(lambda: note(holder).startswith("waits for the end of the previous"))
        count = len(holder.reports)
        await self.set_desired("newer")
        await until(lambda: len(holder.reports) > count or holder.controller.version == 2)
        self.assertEqual([], orders(engine))

    async def test_a_holder_whose_clock_stopped_learns_of_its_loss_before_an_order(self):
        engine = await self.start_engine()
        await self.set_desired("new")
        term = await self.acquire("first")
        term.waited_out = True
        await self.set_faults(lapse_leases=[term.lease.id])
        holder = Holder(term, self.http)
        self.addAsyncCleanup(holder.stop)
        holder.start()
        await until(lambda: term.lost)
        await until(holder.task.done)
        self.assertEqual([], orders(engine))


class Honouring(OrdersTestCase):
    honours_fencing = True

    async def test_an_engine_that_honours_fencing_need_not_wait(self):
        engine = await self.start_engine()
        WaitOut.store_previous_holder(self)
        await self.set_desired("new")
        await self.start_holder("first")
        await until(lambda: engine.orders.state().models == ["new"])

    async def test_the_last_check_of_the_lease_is_right_before_the_order(self):
        engine = await self.start_engine()
        await self.set_desired("new")
        holder = Holder(await self.acquire("first"), self.http)
        self.addAsyncCleanup(holder.stop)

        def lose_the_duty(_reports):
            holder.term.lost = True

        holder.reporter.apply = lose_the_duty
        holder.start()
        await until(lambda: holder.term.lost)
        await until(holder.task.done)
        self.assertEqual([], orders(engine))

    async def test_an_engine_with_a_higher_number_does_not_end_the_duty(self):
        engine = await self.start_engine()
        other = await self.start_engine()
        engine.orders.last_fencing = int(FOREVER_S)
        await self.set_desired("new")
        await self.set_desired("new", target=TargetId("engine-2"))
        holder = await self.start_holder("first")
        await until(lambda: other.orders.state().models == ["new"])
        await until(lambda: any("old fencing" in each.note for each in holder.reports))
        self.assertTrue(holder.term.may_send_orders())
        self.assertEqual(["old"], engine.orders.state().models)


class ReadBack(OrdersTestCase):
    async def test_an_undesired_state_is_corrected(self):
        engine = await self.start_engine()
        await self.set_desired("base", role="decode", adapters=("tone",))
        holder = await self.start_holder("first")
        wanted = (["base"], ["tone"], "decode")
        await until(lambda: state_of(engine) == wanted and holder.reports[-1].agrees)
        engine.orders.models = ["other"]
        engine.orders.adapters = []
        engine.orders.role = "prefill"
        await until(lambda: state_of(engine) == wanted and holder.reports[-1].agrees)

    async def test_an_order_without_effect_is_repeated(self):
        engine = await self.start_engine(("base",))
        execute = engine.orders._execute
        dropped = []

        def drop_the_first(order):
            if dropped:
                execute(order)
                return
            dropped.append(order)

        engine.orders._execute = drop_the_first
        await self.set_desired("base", role="decode")
        await self.start_holder("first")
        await until(lambda: engine.orders.state().role == "decode")
        self.assertEqual(["set_role decode"] * 2, orders(engine)[:2])

    async def test_one_order_is_pending_at_a_time(self):
        engine = await self.start_engine(("base",), order_s=0.1)
        await self.set_desired("base", "new", role="decode")
        await self.start_holder("first")
        await until(lambda: state_of(engine) == (["base", "new"], [], "decode"))
        self.assertEqual(["set_role decode", "load_model new"], orders(engine))

    async def test_a_model_gets_no_more_calls_before_it_is_unloaded(self):
        engine = await self.start_engine(("old", "base"))
        await self.set_desired("base")
        holder = await self.start_holder("first")
        holder.gate.pause()
        await until(holder.gate.reached.is_set)
        self.assertEqual(["base"], holder.reports[-1].serving)
        self.assertEqual(["old", "base"], engine.orders.state().models)

    async def test_an_engine_that_does_not_answer_is_reported(self):
        engine = await self.start_engine(("base",))
        await self.set_desired("base")
        holder = await self.start_holder("first")
        await until(lambda: bool(holder.reports))
        await engine.stop()
        await until(lambda: not holder.reports[-1].agrees)
        self.assertEqual(["base"], holder.reports[-1].serving)

    async def test_a_target_without_desired_state_is_left_unchanged(self):
        engine = await self.start_engine(("old",))
        await self.set_desired("other", target=TargetId("engine-9"))
        holder = await self.start_holder("first")
        await until(lambda: bool(holder.reports))
        self.assertEqual(None, holder.reports[-1].serving)
        self.assertEqual([], orders(engine))


class Loads(OrdersTestCase):
    async def test_targets_unload_only_when_they_may_load(self):
        engines = [await self.start_engine(("old",), order_s=0.05) for _ in range(4)]
        for number in range(4):
            await self.set_desired("new", target=TargetId(f"engine-{number + 1}"))
        permits = WeightStoreSettings(loads_at_once=1, loads_per_minute=60_000.0)
        await self.start_holder("first", weight_store=permits)
        at_once = set()

        def all_done():
            at_once.add(sum(changing(each) for each in engines))
            return all(state_of(each)[0] == ["new"] for each in engines)

        await until(all_done)
        self.assertEqual(1, max(at_once))

    async def test_without_a_token_no_order_to_load_is_sent(self):
        engine = await self.start_engine(("base",))
        await self.set_desired("base", "new")
        permits = WeightStoreSettings(loads_at_once=1, loads_per_minute=1e-6)
        holder = await self.start_holder("first", weight_store=permits)
        await until(lambda: note(holder).startswith("waits for a permit"))
        self.assertEqual([], orders(engine))


def state_of(engine):
    """Return the loaded models and adapters of an engine, and its role."""
    state = engine.orders.state()
    return sorted(state.models), state.adapters, state.role


def changing(engine):
    """Return whether an engine got an order to change and has not finished."""
    return bool(orders(engine)) and state_of(engine)[0] != ["new"]
