# Defines the runs that kill, freeze or cut off processes under load. Sourced by
# prove-run.sh.

# lose_primary kills a primary, waits for the new one, and restarts the old one
# as its replica. Sets primary to the new one.
lose_primary() { # service
  old=$(primary_now "$1")
  [ -n "$old" ] || { failed "$1 has no primary to kill"; return 1; }
  gone "$old"
  fault kill-primary
  await 15 primary_other_than "$1" "$old" || { failed "no primary after $old"; return 1; }
  rejoin "$old" "$primary"
}

run_primary() {
  begin
  start_load 13s token --move
  lose_primary orders
  sleep 1
  lose_primary orders && fault two-failovers
  sleep 1
  old=$(primary_now stock)
  gone "$old"
  lose_primary workshops && fault two-primaries
  end_load
}

run_entry() {
  begin
  start_load 13s id --move
  gone muscat-1-entry-1
  fault kill-entry
  sleep 1
  restart_vm muscat-1-entry-1
  frozen muscat-2-entry-1 2
  fault freeze-entry
  sleep 1
  gone muscat-3-entry-2
  lose_primary orders && fault kill-entry-and-primary
  restart_vm muscat-3-entry-2
  end_load
}

# freeze_primary pauses a primary with requests in flight and waits until the
# service has a ready primary.
freeze_primary() { # service, seconds
  old=$(primary_now "$1")
  [ -n "$old" ] || { failed "$1 has no primary to freeze"; return 1; }
  frozen "$old" "$2"
  fault "freeze-primary-$2s"
  await 15 primary_other_than "$1" none || failed "no primary after a freeze"
}

run_freeze() {
  begin
  start_load 15s token --move
  freeze_primary orders 0.2
  sleep 0.5
  freeze_primary orders 1
  sleep 1
  freeze_primary orders 3
  sleep 1
  freeze_primary stock 1
  end_load
}

run_connections() {
  begin
  start_load 14s connection
  freeze_primary orders 1
  sleep 0.5
  lose_primary stock
  sleep 0.5
  freeze_primary orders 3
  gone muscat-2-entry-2
  fault kill-entry
  sleep 0.5
  restart_vm muscat-2-entry-2
  end_load
}

run_control_frozen() {
  begin
  start_load 13s id --move
  old_leader=$(leader_now)
  frozen "$old_leader" 5 &
  thaw=$!
  fault freeze-leader
  await 4 leader_other_than "$old_leader" || failed "no leader beside the frozen one"
  lose_primary orders && fault freeze-leader-and-kill-primary
  wait "$thaw"
  end_load
}

run_cut() {
  RELAYS=1
  begin
  start_load 22s token --move
  "$FAULTS" cut "$RELAY" s2- >/dev/null && fault cut-vms
  sleep 3
  "$FAULTS" heal "$RELAY" s2- >/dev/null
  sleep 1
  old=$(primary_now orders)
  site=${old##*-}
  "$FAULTS" cut "$RELAY" "s$site-" >/dev/null && "$FAULTS" cut "$RELAY" "u$site-" >/dev/null && fault cut-site
  await 8 primary_other_than orders "$old" || failed "no primary beside the cut-off site"
  sleep 1
  "$FAULTS" heal "$RELAY" "s$site-" >/dev/null && "$FAULTS" heal "$RELAY" "u$site-" >/dev/null
  sleep 2
  old=$(primary_now stock)
  site=$((${old##*-} % 3 + 1))
  "$FAULTS" cut "$RELAY" "s$site-" >/dev/null
  gone "$old"
  fault cut-and-kill-primary
  sleep 3
  "$FAULTS" heal "$RELAY" "s$site-" >/dev/null
  await 15 primary_other_than stock "$old" && rejoin "$old" "$primary"
  end_load
}

# run_alone cuts the links of a site to the other sites and to all upstreams but
# its own, and puts the load on its entries only. The report shows which
# requests it still serves.
run_alone() {
  RELAYS=1 ENTRY_PORTS="531 532"
  begin
  start_load 12s token --move
  for text in s3- u1- u2-; do "$FAULTS" cut "$RELAY" "$text" >/dev/null; done
  fault cut-alone
  sleep 8
  for text in s3- u1- u2-; do "$FAULTS" heal "$RELAY" "$text" >/dev/null; done
  end_load
  cat "$RUN/report.txt"
}

# run_once sends increments concurrently through two entries under one request
# id and kills entries and primaries between commit and resend. No increment may
# be executed twice or lost.
run_once() {
  begin
  list=""
  for port in 511 512 521 522 531 532; do list="$list 127.0.0.1:$PORTS$port"; done
  # shellcheck disable=SC2086
  "$FAULTS" resend 12s "$SEED" orders $list >"$RUN/report.txt" 2>"$RUN/verdict.txt" &
  load=$!
  echo "$load" >"$RUN/load.pid"
  fault resend-at-once
  sleep 2
  gone muscat-1-entry-1
  fault kill-entry
  sleep 1
  restart_vm muscat-1-entry-1
  lose_primary orders
  sleep 1
  gone muscat-2-entry-1
  lose_primary orders && fault resend-over-failover
  restart_vm muscat-2-entry-1
  freeze_primary orders 1
  code=0
  wait "$load" || code=$?
  rm -f "$RUN/load.pid"
  cat "$RUN/report.txt" >>"$OUT/operations"
  echo "$NAME: $(cat "$RUN/report.txt")"
  case $code in 0) ;; 1) broken "$(cat "$RUN/verdict.txt")" ;; *) failed "$(cat "$RUN/verdict.txt")" ;; esac
}
