"""Two holders of the duty after a pause of the first, with and without fencing in the engine."""

from waxwingglade.process.duties.tests.builders import OrdersTestCase, until


def orders_of(engine, fencing):
    """Return, for each order with a fencing number in order of arrival, whether it was accepted."""
    return [each.accepted for each in engine.controls if each.fencing == fencing]


class TwoHolders(OrdersTestCase):
    """The first holder pauses between its last check and the send, and resumes once replaced."""

    async def pause_and_replace(self):
        """Pause a holder that is about to send an order for `stale`; a successor loads `new`."""
        self.engine = await self.start_engine()
        await self.set_desired("old")
        self.paused = await self.start_holder("first")
        await until(lambda: self.is_ready(self.paused))
        self.paused.gate.pause()
        await self.set_desired("stale", "old")
        await until(self.paused.gate.reached.is_set)
        await self.set_faults(lapse_leases=[self.paused.term.lease.id])
        await self.set_desired("new")
        self.successor = await self.start_holder("second")
        await until(lambda: self.engine.orders.state().models == ["new"])
        await until(lambda: self.successor.reports[-1].agrees)

    def is_ready(self, holder):
        return bool(holder.reports) and holder.reports[-1].agrees and holder.term.waited_out

    async def resume(self):
        """Let the paused holder send its order."""
        self.paused.gate.resume()
        await until(lambda: len(self.paused.sent) == self.expected_sent)
        await until(lambda: self.paused.term.fencing in self.stale_fencing_numbers())

    def stale_fencing_numbers(self):
        """Return the fencing numbers of the orders for `stale` that the engine received."""
        return [each.fencing for each in self.engine.controls if each.subject.endswith("stale")]


class HonouredFencing(TwoHolders):
    honours_fencing = True
    expected_sent = 2

    def is_ready(self, holder):
        return bool(holder.sent) and bool(holder.reports) and holder.reports[-1].agrees

    async def test_the_stale_order_is_refused(self):
        await self.pause_and_replace()
        await self.resume()
        self.assertEqual([True, False], orders_of(self.engine, self.paused.term.fencing))
        self.assertEqual(["new"], self.engine.orders.state().models)
        self.assertLess(self.paused.term.fencing, self.successor.term.fencing)
        await until(lambda: not self.paused.term.may_send_orders())

    async def test_an_engine_in_the_desired_state_also_gets_the_new_number(self):
        self.engine = await self.start_engine()
        await self.set_desired("old")
        holder = await self.start_holder("first")

        def raised():
            return self.engine.orders.last_fencing == holder.term.fencing

        await until(raised)
        await until(lambda: holder.controller.managed[0].seen_fencing == holder.term.fencing)
        # This is the state after a restart of the engine.
        self.engine.orders.last_fencing = 0
        await until(raised)
        self.assertEqual(["old"], self.engine.orders.state().models)


class IgnoredFencing(TwoHolders):
    expected_sent = 1

    async def test_the_stale_order_is_undone(self):
        await self.pause_and_replace()
        await self.resume()
        self.assertEqual([True], orders_of(self.engine, self.paused.term.fencing))
        await until(lambda: self.engine.orders.state().models == ["new"])
        undone = "unload_model stale"
        last = [each for each in self.engine.controls if each.kind == "order"][-1]
        self.assertEqual((undone, self.successor.term.fencing), (last.subject, last.fencing))

    async def test_the_paused_holder_sends_one_order_at_most(self):
        await self.pause_and_replace()
        await self.resume()
        await until(self.paused.task.done)
        self.assertEqual(1, len(self.paused.sent))
