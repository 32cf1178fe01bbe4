#!/bin/sh
# Does one run with faults, on a new set of real processes over loopback:
#   sh scripts/prove-run.sh NAME SEED
# The history is checked for safety only, so that the verdict does not depend on
# timing.
set -u
NAME=${1:?which run}
SEED=${2:-1}
PORTS=${PORTS:-17}
OUT=${OUT:-run/prove}
RUN=${RUN:-$OUT/$NAME}
mkdir -p "$OUT"
. "$(dirname "$0")/prove-set.sh"
. "$(dirname "$0")/prove-faults.sh"
. "$(dirname "$0")/prove-changes.sh"
"run_$(echo "$NAME" | tr - _)"
echo "$NAME" >>"$OUT/runs"
