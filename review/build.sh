#!/usr/bin/env bash
# Builds the stand-ins of the cases, which are Python modules of this repository.  They use the
# libraries that the build of the deploy file puts below target/deps.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD"
python3 -m compileall -q review tests waxwingglade/standins
python3 -c "import review.cluster"
