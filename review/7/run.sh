#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$here/../.." || exit 2
export PYTHONPATH="$PWD/target/deps:$PWD"
[ -x target/waxwingglade ] && python3 -c "import review.cluster" || exit 2
exec python3 "$here/case.py"
