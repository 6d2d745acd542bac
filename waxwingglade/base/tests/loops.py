"""The event loop of the daemons, for tests that otherwise run on the interpreter's own."""

import asyncio

import uvloop


class OnDaemonLoop:
    """Run the asynchronous tests of a class on the daemons' event loop; named before the class."""

    @classmethod
    def setUpClass(cls) -> None:
        asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())
        super().setUpClass()  # type: ignore[misc]

    @classmethod
    def tearDownClass(cls) -> None:
        super().tearDownClass()  # type: ignore[misc]
        asyncio.set_event_loop_policy(None)


__all__ = ["OnDaemonLoop"]
