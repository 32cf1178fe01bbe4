#!/bin/sh
# Measures the policy at each user's size with real processes on loopback,
# prints the table of figures and saves it under docs/measurements. The last
# line of the output is one JSON object. QUICK=1 takes under a minute.
set -u
DIR=$(dirname "$0")/measure
. "$DIR/set.sh"
. "$DIR/faults.sh"
. "$DIR/reads.sh"
ROOT=${RUN:-run/measure}
FACTS=$ROOT/facts
QUICK=${QUICK:-}
FAULT_RATE=${FAULT_RATE:-2400}
BROWSE_RATE=${BROWSE_RATE:-3450}
BROWSE_CALLERS=${BROWSE_CALLERS:-700}
trap stop_size EXIT
trap 'exit 1' INT TERM

begin_size() { # user policy
  USER_SIZE=$1 POLICY=$2 RUN=$ROOT/$1-$2
  echo "$(date +%T) $USER_SIZE, policy $POLICY" >&2
  start_size
}

full() {
  begin_size al-wusta own
  under_load killed 58 kill_primaries 20
  under_load frozen 24 freeze_primaries 4
  under_load paused 14 pause_primaries 6
  under_load planned 14 switch_primaries 6
  use_of_limit
  all_stats
  under_load site 10 lose_site
  stop_size
  for n in 2 3; do
    begin_size al-wusta own
    under_load site 10 lose_site
    stop_size
  done

  begin_size cumbres own
  for mode in token id; do
    for lag in 5 50 500; do share_of $mode $lag 5; done
    share_of $mode 5000 12
  done
  share_of_age 50 5
  use_of_limit
  all_stats
  stop_size
  WORK=5ms
  begin_size cumbres own
  overload_by_browsing 6
  all_stats
  stop_size
  WORK=0s
  begin_size cumbres own
  latency_added 2
  configuration_in_force 5
  stop_size
  WORK=1ms

  begin_size al-wusta plain
  under_load killed 13 kill_primaries 3
  under_load frozen 16 freeze_primaries 2
  under_load planned 9 switch_primaries 3
  use_of_limit
  all_stats
  under_load site 12 lose_site
  stop_size
  begin_size cumbres plain
  share_of token 50 5
  share_of id 50 5
  share_of_age 50 5
  use_of_limit
  all_stats
  stop_size
  WORK=5ms
  begin_size cumbres plain
  overload_by_browsing 6
  stop_size
}

quick() {
  begin_size al-wusta own
  under_load killed 9 kill_primaries 3
  under_load frozen 5 freeze_primaries 1
  under_load planned 4 switch_primaries 1
  all_stats
  under_load site 5 lose_site
  stop_size
  begin_size cumbres own
  share_of token 50 2
  share_of id 50 2
  share_of_age 50 2
  use_of_limit
  all_stats
  stop_size
  begin_size cumbres plain
  share_of token 50 2
  use_of_limit
  stop_size
}

rm -rf "$ROOT"
mkdir -p "$ROOT" docs/measurements
began=$(date '+%Y-%m-%d %H:%M:%S')
before=$(cut -d ' ' -f 1 /proc/loadavg)
if [ -n "$QUICK" ]; then quick; else full; fi
note="make measure${QUICK:+ QUICK=$QUICK}, $began to $(date +%T), commit $(git rev-parse --short HEAD 2>/dev/null || echo unknown), $(nproc) cores, load average $before before and $(cut -d ' ' -f 1 /proc/loadavg) after. Loopback, no delays added: the ways between sites come on top."
out=docs/measurements/${QUICK:+quick-}latest.txt
"$MEASURE" table --facts "$FACTS" --note "$note" --user al-wusta --user cumbres | tee "$out"
