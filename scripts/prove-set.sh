# Functions that the runs of scripts/prove-run.sh share: separate settings with
# ack "replicated" and other ports, relays between the sites if RELAYS is 1,
# load, and records of faults, violations and failures in $OUT.

. "$(dirname "$0")/set.sh"
OUT=${OUT:-run/prove}
FAULTS="$BIN/kingcupknot-faults"
SETTINGS="$RUN-settings"
RELAYS=0
RELAY="127.0.0.1:31999"
SERVICES="orders stock workshops"
KINGCUPKNOT_ADDRESS=""
for p in 401 402 403 411 421 431; do
  KINGCUPKNOT_ADDRESS="$KINGCUPKNOT_ADDRESS,127.0.0.1:$PORTS$p"
done
KINGCUPKNOT_ADDRESS=${KINGCUPKNOT_ADDRESS#,}
export KINGCUPKNOT_ADDRESS

config_of() { echo "--config $SETTINGS/base-$1.toml"; }

address_of() {
  if [ "$RELAYS" = 1 ]; then echo "127.0.0.1:$((31600 + $1))"; else echo "127.0.0.1:$((${PORTS}600 + $1))"; fi
}

# seen_from prints the port that reaches a port of a site's VM from another
# site: a port of the relay if RELAYS is 1.
seen_from() { # from site, to site, port
  if [ "$RELAYS" = 1 ] && [ "$1" != "$2" ]; then echo "$((27 + $1))$3"; else echo "$PORTS$3"; fi
}

admins_of() {
  for to in 1 2 3; do
    for e in 1 2; do echo "127.0.0.1:$(seen_from "$1" "$to" "4$to$e")"; done
  done
}

write_settings() {
  mkdir -p "$SETTINGS"
  for from in 1 2 3; do
    sed -e "s/127\.0\.0\.1:7/127.0.0.1:$PORTS/" -e 's/ack = "primary"/ack = "replicated"/' \
      settings/base.toml >"$SETTINGS/base-$from.toml"
    [ "$RELAYS" = 1 ] || continue
    for to in 1 2 3; do
      [ "$from" = "$to" ] && continue
      sed -e "s/127\.0\.0\.1:$PORTS\([34]\)0$to/127.0.0.1:$((27 + from))\10$to/" \
        -e "s/127\.0\.0\.1:$PORTS\([34]\)$to\([12]\)/127.0.0.1:$((27 + from))\1$to\2/" \
        "$SETTINGS/base-$from.toml" >"$SETTINGS/next.toml"
      mv "$SETTINGS/next.toml" "$SETTINGS/base-$from.toml"
    done
  done
}

start_relay() {
  routes=""
  for from in 1 2 3; do
    for to in 1 2 3; do
      [ "$from" = "$to" ] && continue
      for port in "30$to" "3${to}1" "3${to}2" "40$to" "4${to}1" "4${to}2"; do
        routes="$routes --route s$from-s$to-$port=127.0.0.1:$((27 + from))$port=127.0.0.1:$PORTS$port"
      done
    done
    for k in 1 2 3; do
      port=$((600 + k * 10 + from))
      routes="$routes --route u$from-$port=127.0.0.1:31$port=127.0.0.1:$PORTS$port"
    done
  done
  # shellcheck disable=SC2086
  start relay "$BIN/kingcupknot-relay" $routes --admin "$RELAY"
}

# begin starts a new set and waits until it has settled.
begin() {
  trap stop_set EXIT
  trap 'exit 1' INT TERM HUP
  write_settings
  start_set
  [ "$RELAYS" = 1 ] && start_relay
  await 20 settled || { failed "the set did not settle"; exit 1; }
}

status() { "$BIN/kingcupknot" --json --timeout 1s status 2>/dev/null; }
# shellcheck disable=SC2086
settled() { status | "$FAULTS" settled $SERVICES >/dev/null 2>&1; }
leader_now() { status | "$FAULTS" leader 2>/dev/null; }
primary_now() { status | "$FAULTS" primary "$1" 2>/dev/null; } # service

leader_other_than() { # VM; sets leader
  leader=$(leader_now) && [ -n "$leader" ] && [ "$leader" != "$1" ]
}

primary_other_than() { # service, instance; sets primary
  primary=$(primary_now "$1") && [ -n "$primary" ] && [ "$primary" != "$2" ]
}

# await repeats a command until it succeeds, for at most the given number of
# seconds.
await() {
  tries=$(($1 * 10))
  shift
  while ! "$@"; do
    tries=$((tries - 1))
    [ "$tries" -gt 0 ] || return 1
    sleep 0.1
  done
}

pid_of() { cat "$RUN/$1.pid"; }

# gone kills the process of the given name with SIGKILL.
gone() {
  kill -9 "$(pid_of "$1")"
  wait "$(pid_of "$1")" 2>/dev/null || true
  rm -f "$RUN/$1.pid"
}

# frozen pauses a process for the given time with SIGSTOP.
frozen() { # name, seconds
  kill -STOP "$(pid_of "$1")"
  sleep "$2"
  kill -CONT "$(pid_of "$1")"
}

# planned stops a process with SIGTERM and checks that its exit code is 0.
planned() {
  kill -TERM "$(pid_of "$1")"
  code=0
  wait "$(pid_of "$1")" || code=$?
  rm -f "$RUN/$1.pid"
  fault planned-stop
  [ "$code" = 0 ] || broken "$1 ended with $code after SIGTERM"
}

number_of() {
  case $1 in orders*) echo 1 ;; stock*) echo 2 ;; *) echo 3 ;; esac
}

# rejoin restarts an instance as a replica of the primary.
rejoin() { # instance, primary
  start_upstream "${1%-*}" "${1##*-}" "$(number_of "$1")" "${2##*-}"
}

restart_vm() {
  case $1 in
  *-control) n=${1%-control} && start_control "${n##*-}" ;;
  *) n=${1%-entry-*} && start_entry "${n##*-}" "${1##*-}" ;;
  esac
}

fault() { echo "$1" >>"$OUT/faults"; }
broken() {
  echo "run $NAME: $1; replay: make build && sh scripts/prove-run.sh $NAME $SEED" | tee -a "$OUT/violations" >&2
}
failed() { echo "run $NAME: $1; see $RUN" | tee -a "$OUT/failures" >&2; }

start_load() { # duration, mode, options
  length=$1 mode=$2
  shift 2
  list=""
  for port in ${ENTRY_PORTS:-511 512 521 522 531 532}; do list="$list --entry 127.0.0.1:$PORTS$port"; done
  for service in $SERVICES; do list="$list --service $service"; done
  # shellcheck disable=SC2086
  "$BIN/kingcupknot-load" $list --duration "$length" --rate 300 --callers 36 --browse 0.4 \
    --max-age 500ms --session-mode "$mode" --seed "$SEED" "$@" >"$RUN/report.txt" 2>"$RUN/load.log" &
  load=$!
  echo "$load" >"$RUN/load.pid"
  sleep 2
}

# end_load waits for the load to end and records the verdict on its history.
end_load() {
  wait "$load" || true
  rm -f "$RUN/load.pid"
  code=0
  said=$("$FAULTS" verdict "$RUN/report.txt" 2>"$RUN/verdict.txt") || code=$?
  echo "$said" >>"$OUT/operations"
  case $code in
  0) ;;
  1) broken "$(cat "$RUN/verdict.txt")" ;;
  *) failed "$(cat "$RUN/verdict.txt" "$RUN/load.log")" ;;
  esac
  echo "$NAME: $said"
}
