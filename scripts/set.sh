# Starts the set of processes that make run and make up use: 3 control VMs, 6
# entries and 3 services with 3 upstreams each, one in every site. The folder
# $RUN holds the processes' logs, data and process ids.

BIN=${BIN:-bin}
RUN=${RUN:-run}
# The number of every port of the set starts with PORTS. A value other than 7
# needs its own settings, which scripts/prove-set.sh writes.
PORTS=${PORTS:-7}
ADMINS="127.0.0.1:${PORTS}411 127.0.0.1:${PORTS}412 127.0.0.1:${PORTS}421
  127.0.0.1:${PORTS}422 127.0.0.1:${PORTS}431 127.0.0.1:${PORTS}432"

# Scripts that source this file may redefine these three functions.
config_of() { :; }                                      # site number: options that name the settings
admins_of() { echo "$ADMINS"; }                         # site number: addresses that its upstreams announce to
address_of() { echo "127.0.0.1:$((${PORTS}600 + $1))"; } # upstream number: address that it announces

start() {
  name=$1
  shift
  "$@" >>"$RUN/$name.log" 2>&1 &
  echo $! >"$RUN/$name.pid"
}

announce_to() { # site number
  for a in $(admins_of "$1"); do printf -- '--announce %s ' "$a"; done
}

start_control() { # number [option]
  number=$1
  shift
  # shellcheck disable=SC2046
  start "muscat-$number-control" "$BIN/kingcupknotd" $(config_of "$number") \
    --vm "muscat-$number-control" --data "$RUN/data-$number" "$@"
}

start_entry() { # site number, entry number
  # shellcheck disable=SC2046
  start "muscat-$1-entry-$2" "$BIN/kingcupknotd" $(config_of "$1") --vm "muscat-$1-entry-$2"
}

# start_upstream starts an instance as the primary, or as a replica of the
# instance whose index is the last argument.
start_upstream() { # service, index, service number [index to follow]
  n=$(($3 * 10 + $2))
  role=--primary
  if [ -n "${4:-}" ]; then role="--follow $(address_of $(($3 * 10 + $4)))"; fi
  # shellcheck disable=SC2046,SC2086
  start "$1-$2" "$BIN/kingcupknot-upstream" --service "$1" --instance "$1-$2" \
    --site "muscat-$2" --listen "127.0.0.1:$((${PORTS}600 + n))" \
    --admin "127.0.0.1:$((${PORTS}700 + n))" --advertise "$(address_of "$n")" $role \
    --slots 3 --connections 20 --connect-time 10ms --lag "${LAG:-20ms}" $(announce_to "$2")
}

start_set() {
  rm -rf "$RUN"
  mkdir -p "$RUN"
  for i in 1 2 3; do start_control "$i" --bootstrap; done
  for i in 1 2 3; do
    for j in 1 2; do start_entry "$i" "$j"; done
  done
  number=0
  for service in orders stock workshops; do
    number=$((number + 1))
    start_upstream "$service" 1 "$number"
    start_upstream "$service" 2 "$number" 1
    start_upstream "$service" 3 "$number" 1
  done
}

stop_set() {
  for f in "$RUN"/*.pid; do
    [ -f "$f" ] || continue
    kill "$(cat "$f")" 2>/dev/null || true
    kill -CONT "$(cat "$f")" 2>/dev/null || true
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
