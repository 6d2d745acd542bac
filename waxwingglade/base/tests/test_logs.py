"""Tests that logs are bounded and never block the process."""

import json
import os
import threading
import unittest
from unittest import mock

from loguru import logger

from waxwingglade.base import logs


class LineWriterTest(unittest.TestCase):
    def test_a_reader_that_does_not_read_does_not_block_the_process(self) -> None:
        reading, writing = os.pipe()
        stream = os.fdopen(writing, "wb", buffering=0)
        writer = logs.LineWriter(stream)
        line = b"x" * 1000 + b"\n"
        done = threading.Event()

        def fill() -> None:
            for _ in range(logs.QUEUE_LINES + 500):
                writer.put(line)
            done.set()

        threading.Thread(target=fill, daemon=True).start()
        self.assertTrue(done.wait(30.0), "the process is blocked by its logs")
        self.assertGreater(writer.dropped, 0)
        os.close(reading)
        writer.stop(5.0)
        stream.close()

    def test_lines_with_the_same_event_are_limited_and_others_are_not(self) -> None:
        reading, writing = os.pipe()
        stream = mock.Mock(buffer=os.fdopen(writing, "wb", buffering=0))
        with mock.patch("waxwingglade.base.logs.sys.stdout", stream):
            writer = logs.start_logs("test")
        try:
            for number in range(500):
                logger.bind(number=number).info("the same")
            logger.bind(inputs={"a": 1}).info("another")
        finally:
            logger.remove()
            writer.stop(5.0)
            stream.buffer.close()
        with os.fdopen(reading, "rb") as pipe:
            lines = [json.loads(line) for line in pipe.read().splitlines()]
        same = [line for line in lines if line["event"] == "the same"]
        self.assertLess(len(same), 150)
        self.assertEqual(lines[-1]["event"], "another")
        self.assertEqual(lines[-1]["inputs"], {"a": 1})
        self.assertEqual(lines[-1]["process"], "test")


class SamplerTest(unittest.TestCase):
    def test_lines_left_out_are_counted_once(self) -> None:
        sampler = logs.Sampler(5.0)
        with mock.patch("waxwingglade.base.logs.time.monotonic", return_value=sampler.filled_at):
            allowed = sum(sampler.allows() for _ in range(20))
        self.assertEqual((allowed, sampler.take_left_out(), sampler.take_left_out()), (5, 15, 0))
