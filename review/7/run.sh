#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="$PWD/target/deps:$PWD"
[ -x target/waxwingglade ] && python3 -c "import review.small_cluster" || exit 2
exec python3 -m review.7.case
