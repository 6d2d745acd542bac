"""Tests of the store's messages against the JSON of the published protocol."""

import json
import unittest

from waxwingglade.connection.store_codec import (
    EventType,
    PutRequest,
    RangeResponse,
    RequestOp,
    TxnResponse,
    WatchResult,
    decode_message,
    encode_message,
    prefix_end,
)
from waxwingglade.connection.store_write import marked_txn


class CodecTest(unittest.TestCase):
    """Keys are encoded as base64 and 64-bit integers as strings; defaults are left out."""

    def test_transaction(self) -> None:
        put = RequestOp(request_put=PutRequest(key=b"k", value=b"v", lease=7))
        txn = json.loads(encode_message(marked_txn(b"k", 5, put, b"m", 2**62)))
        self.assertEqual(txn["compare"][0], {"key": "aw==", "target": "MOD", "mod_revision": "5"})
        self.assertEqual(
            txn["success"][0], {"request_put": {"key": "aw==", "value": "dg==", "lease": "7"}}
        )
        self.assertEqual(txn["success"][1]["request_put"]["lease"], "4611686018427387904")
        self.assertEqual(txn["failure"][0], {"request_range": {"key": "bS9kb25l"}})

    def test_answers(self) -> None:
        found = decode_message(
            b'{"header":{"cluster_id":"1","member_id":"2","revision":"9","raft_term":"2"},'
            b'"kvs":[{"key":"aw==","create_revision":"4","mod_revision":"9","version":"2",'
            b'"value":"dg=="}],"count":"1"}',
            RangeResponse,
        )
        self.assertEqual((found.header.revision, found.kvs[0].mod_revision), (9, 9))
        self.assertEqual((found.kvs[0].key, found.kvs[0].value), (b"k", b"v"))
        refused = decode_message(
            b'{"header":{"revision":"9"},"responses":[{"response_range":{"header":{}}}]}',
            TxnResponse,
        )
        self.assertFalse(refused.succeeded)

    def test_watch(self) -> None:
        line = (
            b'{"result":{"header":{"revision":"9"},"events":'
            b'[{"type":"DELETE","kv":{"key":"aw==","mod_revision":"9"}}]}}'
        )
        event = decode_message(line, WatchResult).result.events[0]
        self.assertEqual((event.type, event.kv.key), (EventType.DELETE, b"k"))

    def test_prefix_end(self) -> None:
        self.assertEqual(prefix_end(b"a/"), b"a0")
        self.assertEqual(prefix_end(b"a\xff"), b"b")
        self.assertEqual(prefix_end(b"\xff"), b"\0")
