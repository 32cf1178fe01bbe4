# Measures the rows on replica reads, overload, connections and latency. Sourced
# by measure.sh.

set_lag() { # lag
  for s in $SERVICES; do
    for i in 1 2 3; do
      curl -s -m 2 -X POST "http://127.0.0.1:$(admin_port "$s" $i)/lag?d=$1" || true
    done
  done
}

share_of() { # mode lag-ms seconds
  set_lag "$2ms"
  row="share-$1-$2"
  # shellcheck disable=SC2086
  load "$row" $LOAD_SERVICES --rate 400 --callers 200 --reads 0.9 --session-mode "$1" \
    --duration "$3s" || return 0
  measure share --operations "$RUN/$row.csv" --row "$row" --lag "$2ms"
}

share_of_age() { # lag-ms seconds
  set_lag "$1ms"
  # shellcheck disable=SC2086
  load "share-age-$1" $LOAD_SERVICES --rate 600 --callers 100 --browse 0.9 --max-age 500ms \
    --duration "$2s" || return 0
  measure share --operations "$RUN/share-age-$1.csv" --row "share-age-$1" --lag "$1ms" --browse
}

# overload_by_browsing runs bookings alone, then together with browsing that
# sends a service three times the reads that its instances can run: 6 slots of 5
# ms, about 1150 reads per second. With 1 ms per statement, the machine would be
# the limit instead of the slots.
overload_by_browsing() { # seconds
  set_lag 20ms
  s=${SERVICES%% *}
  load unloaded --service "$s" --rate 100 --callers 20 --duration "$1s" --seed 2 || return 0
  load browsing --service "$s" --rate "$BROWSE_RATE" --callers "$BROWSE_CALLERS" --browse 1 \
    --stay --deadline 250ms --duration "$(($1 + 2))s" --seed 3 &
  loader=$!
  sleep 1.5
  load loaded --service "$s" --rate 100 --callers 20 --duration "$1s" --seed 4 || true
  wait $loader || true
  measure overload --unloaded "$RUN/unloaded.csv" --loaded "$RUN/loaded.csv" \
    --browsing "$RUN/browsing.csv"
}

use_of_limit() {
  s=${SERVICES##* }
  p=$(status "$s" 2)
  measure hold --entry "127.0.0.1:$((BASE + 201))" --service "$s" \
    --upstream "127.0.0.1:$(admin_port "$s" "${p##*-}")" --connections $CONNECTIONS
}

all_stats() {
  # shellcheck disable=SC2086
  measure stats $STATS $ENTRY_ADMINS --connections $CONNECTIONS --slots $SLOTS 2>>"$RUN/stats.log"
}

# configuration_in_force measures the time from a change of the configuration
# until all entries have it, while one control VM that is not the leader is
# down.
configuration_in_force() { # runs
  follower=control-1
  [ "$(leader)" = control-1 ] && follower=control-2
  end "$follower" KILL
  sleep 0.3
  run=0
  while [ $run -lt "$1" ]; do
    run=$((run + 1))
    sed "s/^reserved = .*/reserved = $((2 + run % 2))/" "$RUN/base.toml" >"$RUN/changed.toml"
    begin=$(date +%s%N)
    # shellcheck disable=SC2086
    want=$("$BIN/kingcupknot" $ADMINS config apply "$RUN/changed.toml" | sed -n 's/^version \([0-9]*\):.*/\1/p')
    tries=0
    # shellcheck disable=SC2086
    while [ $tries -lt 200 ] && [ "$("$BIN/kingcupknot" $ADMINS status |
      awk -v w="$want" '$1 ~ /^entry-/ && $3 == w' | wc -l)" -lt "$(echo $ENTRIES | wc -w)" ]; do
      tries=$((tries + 1))
    done
    fact configuration $((($(date +%s%N) - begin) / 1000000))
  done
}

latency_added() { # seconds
  s=${SERVICES%% *}
  measure latency --entry "127.0.0.1:$((BASE + 201))" --direct "127.0.0.1:$(port "$s" 1)" \
    --service "$s" --pid "$(cat "$RUN/entry-1.pid")" --duration "$1s"
}
