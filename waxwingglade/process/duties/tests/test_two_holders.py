"""Two holders of the duty after a freeze, with engines that honour and that ignore fencing."""

from waxwingglade.process.duties.tests.builders import OrdersTestCase, until


def orders_of(engine, fencing):
    """Return whether the orders with a number were accepted, in order of arrival."""
    return [each.accepted for each in engine.controls if each.fencing == fencing]


class TwoHolders(OrdersTestCase):
    """The first holder stops between its last check and the send, and goes on when replaced."""

    async def freeze_and_replace(self):
        """Freeze a holder with an order for `stale` in hand; another one brings `new`."""
        self.engine = await self.start_engine()
        await self.ask_for("old")
        self.frozen = await self.start_holder("first")
        await until(lambda: self.is_ready(self.frozen))
        self.frozen.gate.freeze()
        await self.ask_for("stale", "old")
        await until(self.frozen.gate.reached.is_set)
        await self.set_faults(lapse_leases=[self.frozen.term.lease.id])
        await self.ask_for("new")
        self.successor = await self.start_holder("second")
        await until(lambda: self.engine.orders.state().models == ["new"])
        await until(lambda: self.successor.reports[-1].agrees)

    def is_ready(self, holder):
        return bool(holder.reports) and holder.reports[-1].agrees and holder.term.waited_out

    async def thaw(self):
        """Let the frozen holder send its order."""
        self.frozen.gate.thaw()
        await until(lambda: len(self.frozen.sent) == self.expected_sent)
        await until(lambda: self.frozen.term.fencing in self.seen())

    def seen(self):
        return [each.fencing for each in self.engine.controls if each.subject.endswith("stale")]


class HonouredFencing(TwoHolders):
    honours_fencing = True
    expected_sent = 2

    def is_ready(self, holder):
        return bool(holder.sent) and bool(holder.reports) and holder.reports[-1].agrees

    async def test_the_stale_order_is_refused(self):
        await self.freeze_and_replace()
        await self.thaw()
        self.assertEqual([True, False], orders_of(self.engine, self.frozen.term.fencing))
        self.assertEqual(["new"], self.engine.orders.state().models)
        self.assertLess(self.frozen.term.fencing, self.successor.term.fencing)
        await until(lambda: not self.frozen.term.may_send_orders())

    async def test_an_engine_that_agrees_learns_the_new_number_all_the_same(self):
        self.engine = await self.start_engine()
        await self.ask_for("old")
        holder = await self.start_holder("first")

        def raised():
            return self.engine.orders.last_fencing == holder.term.fencing

        await until(raised)
        await until(lambda: holder.controller.managed[0].seen_fencing == holder.term.fencing)
        # As after a restart of the engine.
        self.engine.orders.last_fencing = 0
        await until(raised)
        self.assertEqual(["old"], self.engine.orders.state().models)


class IgnoredFencing(TwoHolders):
    expected_sent = 1

    async def test_the_stale_order_is_undone(self):
        await self.freeze_and_replace()
        await self.thaw()
        self.assertEqual([True], orders_of(self.engine, self.frozen.term.fencing))
        await until(lambda: self.engine.orders.state().models == ["new"])
        undone = "unload_model stale"
        last = [each for each in self.engine.controls if each.kind == "order"][-1]
        self.assertEqual((undone, self.successor.term.fencing), (last.subject, last.fencing))

    async def test_the_frozen_holder_sends_one_order_at_most(self):
        await self.freeze_and_replace()
        await self.thaw()
        await until(self.frozen.task.done)
        self.assertEqual(1, len(self.frozen.sent))
