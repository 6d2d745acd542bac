#!/bin/sh
# Prepares the stand-ins of the cases from 6 on, after the build of the deploy file.  All of them are
# Python: the project's stand-ins of the store and of servers, and those of small_cluster.py.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps:. python3 -m compileall -q \
    review/small_cluster.py review/cluster.py tests/ports.py tests/platform_cluster.py \
    waxwingglade/standins/metadata_store.py waxwingglade/standins/registered_server.py || exit 1
PYTHONPATH=target/deps:. exec python3 -c "import review.small_cluster, review.cluster"
