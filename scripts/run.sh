#!/bin/sh
# Starts three sites on loopback, puts load on them, kills the primary of one
# service in the middle of the load, and checks the history. The last line of
# the output is one JSON object. Exits non-zero on a violation and stops all its
# processes.
set -eu
. "$(dirname "$0")/set.sh"
trap stop_set EXIT INT TERM
start_set

entries=""
for port in 7511 7512 7521 7522 7531 7532; do entries="$entries --entry 127.0.0.1:$port"; done

# shellcheck disable=SC2086
"$BIN/kingcupknot-load" $entries --service orders --service stock --service workshops \
  --duration "${DURATION:-15s}" --rate "${RATE:-400}" --callers 48 --browse 0.5 --max-age 500ms \
  --move --session-mode token --seed "${SEED:-1}" >"$RUN/report.txt" 2>"$RUN/load.log" &
load=$!
sleep 7
victim=$(cat "$RUN/orders-1.pid")
kill -9 "$victim"
rm -f "$RUN/orders-1.pid"
status=0
wait "$load" || status=$?
cat "$RUN/report.txt"
if [ "$status" -ne 0 ]; then
  echo "the run failed; see $RUN/load.log" >&2
  cat "$RUN/load.log" >&2
fi
exit "$status"
