"""The event loop of the daemons, for tests that would otherwise use the interpreter's default."""

import asyncio

import uvloop


class OnDaemonLoop:
    """Mixin that runs asynchronous tests on the daemons' event loop; must be the first base."""

    @classmethod
    def setUpClass(cls) -> None:
        asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())
        super().setUpClass()  # type: ignore[misc]

    @classmethod
    def tearDownClass(cls) -> None:
        super().tearDownClass()  # type: ignore[misc]
        asyncio.set_event_loop_policy(None)


__all__ = ["OnDaemonLoop"]
