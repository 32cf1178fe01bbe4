# Starts and stops the processes for one user's size for make measure. The
# script that sources this file sets USER_SIZE (al-wusta or cumbres), POLICY
# (own or plain) and RUN, the folder for logs, data and process ids.

BIN=${BIN:-bin}
MEASURE="$BIN/kingcupknot-measure"

# size sets the variables that differ between the users.
size() {
  case $USER_SIZE in
  al-wusta)
    BASE=23000 ENTRY_SITES="1 1 1 2 2 2 3 3" SITE=muscat
    SERVICES="orders stock workshops" SLOTS=3 CONNECTIONS=20 CONNECT=10ms
    ;;
  cumbres)
    BASE=23400 ENTRY_SITES="1 1 1 2 2 3 3 4 4" SITE=andes
    SERVICES="guides porters payments" SLOTS=2 CONNECTIONS=30 CONNECT=25ms
    ;;
  esac
  ENTRIES="" ENTRY_ADDRESSES="" ENTRY_ADMINS="" ANNOUNCE="" LOAD_SERVICES="" STATS="" ADMINS=""
  n=0
  for _ in $ENTRY_SITES; do
    n=$((n + 1))
    ENTRIES="$ENTRIES entry-$n"
    ENTRY_ADDRESSES="$ENTRY_ADDRESSES --entry 127.0.0.1:$((BASE + 200 + n))"
    ENTRY_ADMINS="$ENTRY_ADMINS --entry 127.0.0.1:$((BASE + 110 + n))"
    ANNOUNCE="$ANNOUNCE --announce 127.0.0.1:$((BASE + 110 + n))"
  done
  for i in 1 2 3; do ADMINS="$ADMINS --address 127.0.0.1:$((BASE + 100 + i))"; done
  for s in $SERVICES; do
    LOAD_SERVICES="$LOAD_SERVICES --service $s"
    for i in 1 2 3; do STATS="$STATS --upstream 127.0.0.1:$(admin_port "$s" "$i")"; done
  done
}

# launch starts a process in the background and saves its process id in a file.
launch() { # name command...
  process=$1
  shift
  "$@" >>"$RUN/$process.log" 2>&1 &
  echo $! >"$RUN/$process.pid"
}

service_number() { # service
  n=0
  for s in $SERVICES; do
    n=$((n + 1))
    [ "$s" = "$1" ] && echo $n
  done
}

port() { # service index
  echo $((BASE + 300 + $(service_number "$1") * 10 + $2))
}

admin_port() { # service index
  echo $((BASE + 350 + $(service_number "$1") * 10 + $2))
}

upstream() { # service index role...
  service=$1 index=$2
  shift 2
  # shellcheck disable=SC2086
  launch "$service-$index" "$BIN/kingcupknot-upstream" --service "$service" \
    --instance "$service-$index" --site "$SITE-$index" \
    --listen "127.0.0.1:$(port "$service" "$index")" \
    --admin "127.0.0.1:$(admin_port "$service" "$index")" "$@" --slots $SLOTS \
    --connections $CONNECTIONS --connect-time $CONNECT --lag "${LAG:-20ms}" \
    --work "${WORK:-1ms}" $ANNOUNCE
}

control() { # index
  launch "control-$1" "$BIN/kingcupknotd" --config "$RUN/base.toml" --vm "control-$1" \
    --data "$RUN/data-$1" --bootstrap
}

entry() { # name
  launch "$1" "$BIN/kingcupknotd" --config "$RUN/base.toml" --vm "$1"
}

start_size() {
  size
  mkdir -p "$RUN"
  rm -rf "$RUN"/data-*
  cp "scripts/measure/$USER_SIZE.toml" "$RUN/base.toml"
  [ "$POLICY" = plain ] && cat scripts/measure/plain.toml >>"$RUN/base.toml"
  for i in 1 2 3; do control $i; done
  for e in $ENTRIES; do entry "$e"; done
  for s in $SERVICES; do
    upstream "$s" 1 --primary
    for i in 2 3; do upstream "$s" $i --follow "127.0.0.1:$(port "$s" 1)"; done
  done
  for s in $SERVICES; do await_ready "$s"; done
}

end() { # name signal
  if [ -f "$RUN/$1.pid" ]; then
    kill "-$2" "$(cat "$RUN/$1.pid")" 2>/dev/null || true
    [ "$2" = KILL ] && rm -f "$RUN/$1.pid"
  fi
  return 0
}

# stop_size kills every process of the set by its id. SIGKILL also ends a
# process that is frozen by SIGSTOP.
stop_size() {
  for f in "$RUN"/*.pid; do
    [ -f "$f" ] || continue
    kill -KILL "$(cat "$f")" 2>/dev/null || true
    wait "$(cat "$f")" 2>/dev/null || true
    rm -f "$f"
  done
}

# status prints one field of a service's status line: 2 is the primary, 3
# whether it is ready, 4 the epoch.
status() { # service field
  # shellcheck disable=SC2086
  "$BIN/kingcupknot" $ADMINS --timeout 3s status 2>/dev/null |
    awk -v s="$1" -v f="$2" '$1 == s { print $f; exit }'
}

leader() {
  # shellcheck disable=SC2086
  "$BIN/kingcupknot" $ADMINS --timeout 3s status 2>/dev/null | sed -n 's/^leader \([^,]*\),.*/\1/p'
}

await_ready() { # service
  tries=0
  until [ "$(status "$1" 3)" = yes ] || [ $tries -ge 50 ]; do
    sleep 0.1
    tries=$((tries + 1))
  done
}

mark() { # row service
  echo "$(date +%s%N) $1 $2" >>"$RUN/marks"
}

fact() { # row value
  "$MEASURE" fact --facts "$FACTS" --user "$USER_SIZE" --policy "$POLICY" --row "$1" --value "$2"
}

measure() { # command arguments...
  command=$1
  shift
  "$MEASURE" "$command" --facts "$FACTS" --user "$USER_SIZE" --policy "$POLICY" "$@"
}

# load runs callers and writes their operations to $RUN/NAME.csv.
load() { # name arguments...
  out=$1
  shift
  # shellcheck disable=SC2086
  measure load --out "$RUN/$out.csv" $ENTRY_ADDRESSES "$@" 2>"$RUN/$out.load"
}
