# Starts the set of processes that make run and make up use: 3 control VMs, 6
# entries and 3 services of 3 upstreams, one upstream of each in every site.
# The folder $RUN holds their logs, data and process ids.

BIN=${BIN:-bin}
RUN=${RUN:-run}
ADMINS="127.0.0.1:7411 127.0.0.1:7412 127.0.0.1:7421 127.0.0.1:7422 127.0.0.1:7431 127.0.0.1:7432"

start() {
  name=$1
  shift
  "$@" >"$RUN/$name.log" 2>&1 &
  echo $! >"$RUN/$name.pid"
}

announce_to() {
  for a in $ADMINS; do printf -- '--announce %s ' "$a"; done
}

start_upstream() { # service index site role
  port=$((7600 + $5 * 10 + $2))
  admin=$((7700 + $5 * 10 + $2))
  if [ "$2" = 1 ]; then
    role=--primary
  else
    role="--follow 127.0.0.1:$((7600 + $5 * 10 + 1))"
  fi
  # shellcheck disable=SC2046,SC2086
  start "$1-$2" "$BIN/kingcupknot-upstream" --service "$1" --instance "$1-$2" \
    --site "$3" --listen "127.0.0.1:$port" --admin "127.0.0.1:$admin" $role \
    --slots 3 --connections 20 --connect-time 10ms --lag "${LAG:-20ms}" $(announce_to)
}

start_set() {
  rm -rf "$RUN"
  mkdir -p "$RUN"
  for i in 1 2 3; do
    start "muscat-$i-control" "$BIN/kingcupknotd" --vm "muscat-$i-control" \
      --data "$RUN/data-$i" --bootstrap
  done
  for i in 1 2 3; do
    for j in 1 2; do
      start "muscat-$i-entry-$j" "$BIN/kingcupknotd" --vm "muscat-$i-entry-$j"
    done
  done
  n=0
  for service in orders stock workshops; do
    n=$((n + 1))
    for i in 1 2 3; do start_upstream "$service" "$i" "muscat-$i" x "$n"; done
  done
}

stop_set() {
  for f in "$RUN"/*.pid; do
    [ -f "$f" ] || continue
    kill "$(cat "$f")" 2>/dev/null || true
  done
  for f in "$RUN"/*.pid; do
    [ -f "$f" ] || continue
    pid=$(cat "$f")
    tries=0
    while kill -0 "$pid" 2>/dev/null && [ $tries -lt 50 ]; do
      sleep 0.1
      tries=$((tries + 1))
    done
    kill -9 "$pid" 2>/dev/null || true
    rm -f "$f"
  done
}
