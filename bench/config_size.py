"""Size and processing time of the configuration: whole trees and single changes.

Run from the root of the repository, where the package can be imported::

    PYTHONPATH=. python bench/config_size.py

It uses a single process and no network.  The tree has 320 tenants of 4 classes with 3 overrides.
"""

import random
import statistics
import time
from collections.abc import Callable

import msgspec
from loguru import logger

from waxwingglade.version import (
    ActiveConfig,
    Approval,
    Change,
    ConfigDigest,
    ConfigSnapshot,
    PolicyPath,
    Source,
    Tree,
    VersionRecord,
    apply_changes,
    digest_of,
    resolve,
)
from waxwingglade.version.config_store import Head, SnapshotRef
from waxwingglade.version.record import RecordKind, decode_record, encode_record
from waxwingglade.version.snapshot import VersionRecords, decode_snapshot, encode_snapshot, replay
from waxwingglade.version.tree import encoded_size, tree_hash

TENANTS = 320
CLASSES = ["booking", "notice", "design-draft", "proof-revision"]
CHANGES_PER_DAY = 17_000
SECONDS_PER_DAY = 86_400
HISTORY_SAMPLE = 1_000
ROUNDS = 200
RANDOM = random.Random(7)


def make_tree() -> Tree:
    """Return a tree at the target size of the fleet, with values that seldom repeat."""
    levels: dict = {
        "operators": {f"operator-{number}": "approver" for number in range(20)},
        "firm": {"urgency": "normal", "deadline_s": 90.0, "budget.tokens": 200_000},
    }
    for number in range(TENANTS):
        for name in CLASSES:
            levels[f"tenant:customer-{number:03d}/{name}"] = {
                "deadline_s": float(RANDOM.randint(10, 900)),
                "queue_limit": RANDOM.randint(10, 2000),
                "budget.tokens": RANDOM.randint(10_000, 900_000),
            }
    return Tree(levels)


def make_record(snapshot: ConfigSnapshot) -> VersionRecord:
    """Return the record of a change to one value with two approvals."""
    level = f"tenant:customer-{RANDOM.randrange(TENANTS):03d}/{RANDOM.choice(CLASSES)}"
    changes = [Change(level, "queue_limit", RANDOM.randint(10, 2000))]
    after = apply_changes(snapshot.tree, changes)
    approvals = [Approval(f"operator-{n}", digest_of(level), 1.7e9) for n in range(2)]
    version = snapshot.version + 1
    return VersionRecord(
        version,
        snapshot.hash,
        tree_hash(after),
        changes,
        f"change-{RANDOM.getrandbits(64):016x}",
        "operator-3",
        approvals,
        "operator-3",
        "entry-017",
        1.7e9 + version,
    )


def median_s(action: Callable[[], object], rounds: int = ROUNDS) -> float:
    """Return the median duration of an action in seconds."""
    times = []
    for _ in range(rounds):
        started_at = time.perf_counter()
        action()
        times.append(time.perf_counter() - started_at)
    return statistics.median(times)


def report(label: str, value: float, unit: str) -> None:
    """Print one result."""
    print(f"{label:58} {value:14,.4f} {unit}")


def report_sizes(snapshot: ConfigSnapshot, records: list[VersionRecord]) -> None:
    """Print sizes, and the bytes per second of a node that receives every version once."""
    per_s = CHANGES_PER_DAY / SECONDS_PER_DAY
    record = records[-1]
    tree_bytes = encoded_size(snapshot.tree)
    compressed_bytes = len(encode_snapshot(snapshot))
    change_bytes = len(encode_record(RecordKind.VERSIONS, VersionRecords([record])))
    head_bytes = len(encode_record(RecordKind.HEAD, Head(record, SnapshotRef(100, record.hash))))
    digest_bytes = len(msgspec.msgpack.encode(ConfigDigest(record.version, record.hash, True)))
    report("overrides in the tree", sum(map(len, snapshot.tree.levels.values())), "")
    report("whole tree", tree_bytes, "bytes")
    report("whole tree, compressed", compressed_bytes, "bytes")
    report("change as sent to a peer", change_bytes, "bytes")
    report("head as watched in the store", head_bytes, "bytes")
    report("digest on a heartbeat", digest_bytes, "bytes")
    report(f"versions a second at {CHANGES_PER_DAY} a day", per_s, "")
    report("bytes a second, whole trees", tree_bytes * per_s, "B/s")
    report("bytes a second, whole trees compressed", compressed_bytes * per_s, "B/s")
    report("bytes a second, changes", change_bytes * per_s, "B/s")


def report_times(snapshot: ConfigSnapshot, records: list[VersionRecord]) -> None:
    """Print the duration of a node's work for each version and for each call."""
    per_s = CHANGES_PER_DAY / SECONDS_PER_DAY
    path = PolicyPath("zone-1", "customer-007", "booking", "appointment-chat")
    data = encode_record(RecordKind.VERSIONS, VersionRecords([records[0]]))
    packed = encode_snapshot(snapshot)

    def receive_change() -> None:
        active = ActiveConfig(snapshot)
        received = decode_record(RecordKind.VERSIONS, data, VersionRecords)
        assert active.offer_records(received.records, Source.PEER)

    received_s = median_s(receive_change)
    report("take one change from a peer", received_s * 1e6, "us")
    report("  of a core, at that rate", received_s * per_s * 100, "%")
    report("hash a tree", median_s(lambda: tree_hash(snapshot.tree)) * 1e6, "us")
    report("pack a whole tree", median_s(lambda: encode_snapshot(snapshot), 30) * 1e6, "us")
    report("unpack a whole tree", median_s(lambda: decode_snapshot(packed), 30) * 1e6, "us")
    replayed_s = median_s(lambda: replay(snapshot, records), 10)
    report(f"replay {len(records)} changes", replayed_s * 1e6, "us")
    uncached_s = median_s(lambda: [resolve(snapshot.tree, path) for _ in range(100)]) / 100
    report("resolve a policy, not remembered", uncached_s * 1e6, "us")
    snapshot.resolve(path)
    cached_s = median_s(lambda: [snapshot.resolve(path) for _ in range(1000)]) / 1000
    report("resolve a policy, remembered", cached_s * 1e6, "us")


def main() -> None:
    """Build the tree and a sample of a day's changes, and print the results."""
    logger.remove()
    snapshot = ConfigSnapshot(1, make_tree())
    records = []
    latest = snapshot
    for _ in range(HISTORY_SAMPLE):
        records.append(make_record(latest))
        latest = replay(latest, records[-1:])
    report_sizes(snapshot, records)
    report_times(snapshot, records)


if __name__ == "__main__":
    main()
