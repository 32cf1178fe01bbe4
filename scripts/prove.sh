#!/bin/sh
# Checks the system's safety guarantees: first by tests in virtual time with
# seeds from SEED_BASE on, then by runs of real processes. Prints the tests and
# runs, the faults injected, and each violation with the command that replays
# it. Exits non-zero on a violation, on a failed run, and if a kind of fault was
# never injected.
set -u
SEEDS=${SEEDS:-20}
SEED_BASE=${SEED_BASE:-1}
GO=${GO:-go}
OUT=${OUT:-run/prove}
# Two lists of runs that are done in parallel, each on its own ports.
FIRST="primary once entry freeze connections control-frozen leave operators rolling-control"
SECOND="cut alone control-killed disk rolling-entries rolling-upstreams rolling"
KINDS="kill-primary two-failovers two-primaries kill-entry kill-entry-and-primary
  freeze-entry freeze-primary-0.2s freeze-primary-1s freeze-primary-3s
  freeze-leader freeze-leader-and-kill-primary kill-leader kill-member
  kill-leader-in-change lose-disk lose-second-after-repair cut-vms cut-site cut-alone
  cut-and-kill-primary race resend
  resend-at-once resend-over-failover leave-replica leave-primary planned-stop"
children=""

# stop_lanes stops the lanes; the trap of each lane stops its set of processes.
stop_lanes() {
  for c in $children; do kill -TERM "$c" 2>/dev/null; done
  for c in $children; do wait "$c" 2>/dev/null; done
}
trap stop_lanes EXIT
trap 'exit 1' INT TERM HUP

# seeded runs the seeded tests of a package and records a violation if they
# fail.
seeded() { # package, tests, flags
  package=$1 tests=$2
  shift 2
  command="$GO test $package -count=1 -run $tests $*"
  if ! $command -v >"$OUT/seeded.log" 2>&1; then
    grep -E '^ +[a-z_]+\.go:|^--- FAIL|^panic' "$OUT/seeded.log" | head -20
    echo "seeded tests of $package; replay: $command" >>"$OUT/violations"
  fi
  grep -E ' seeds[,:]|OK, passed' "$OUT/seeded.log" | sed "s|^ *|$package: |"
  cat "$OUT/seeded.log" >>"$OUT/tests.log"
}

# lane does runs one after the other. On SIGTERM it stops the current run.
lane() { # ports, names
  PORTS=$1
  shift
  export PORTS OUT
  trap 'kill -TERM "$one" 2>/dev/null; wait "$one"; exit 1' TERM
  for name in "$@"; do
    sh scripts/prove-run.sh "$name" "$SEED_BASE" &
    one=$!
    wait "$one"
  done
}

rm -rf "$OUT"
mkdir -p "$OUT"
for f in faults violations failures operations runs; do : >"$OUT/$f"; done
echo "== seeded tests: $SEEDS seeds from $SEED_BASE"
seeded ./node '^TestSystemHistories' -seeds "$SEEDS" -seed-base "$SEED_BASE"
seeded ./quorum '^TestSeeds$' -seeds "$SEEDS"
seeded ./node '^TestEntry(Invariants|Freshness)$' -rapid.seed "$SEED_BASE" -rapid.checks "$((SEEDS * 10))"
echo "== real processes"
# shellcheck disable=SC2086
lane 17 $FIRST &
children=$!
# shellcheck disable=SC2086
lane 18 $SECOND &
children="$children $!"
for c in $children; do wait "$c"; done
children=""

for name in $FIRST $SECOND; do
  grep -qx "$name" "$OUT/runs" || echo "run $name did not end" >>"$OUT/failures"
done
for kind in $KINDS; do
  grep -qx "$kind" "$OUT/faults" || echo "the fault $kind was never caused" >>"$OUT/failures"
done
echo "== summary"
echo "runs: $(wc -l <"$OUT/runs") of $(echo "$FIRST $SECOND" | wc -w)"
sed 's/.*operations=\([0-9]*\).*/\1/' "$OUT/operations" | awk '{ n += $1 } END { print "operations: " n + 0 }'
echo "faults:"
sort "$OUT/faults" | uniq -c
echo "failures: $(wc -l <"$OUT/failures")"
cat "$OUT/failures"
echo "violations: $(wc -l <"$OUT/violations")"
cat "$OUT/violations"
[ ! -s "$OUT/violations" ] && [ ! -s "$OUT/failures" ]
