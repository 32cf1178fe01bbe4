# Defines the runs that change the configuration and those that stop processes
# as planned. Sourced by prove-run.sh.

# make_change creates a service under the given change id and sets code to the
# exit code.
make_change() { # id [option]
  id=$1
  shift
  code=0
  "$BIN/kingcupknot" --change-id "$id" --timeout 10s "$@" service create "s-$id" \
    --connections 4 --slots 1 >"$RUN/change-$id.txt" 2>&1 || code=$?
}

# accepted makes a change that must be accepted. It sends the change up to three
# times, as long as the outcome is unknown or no control VM has taken it.
accepted() {
  for try in 1 2 3; do
    make_change "$1"
    case $code in 5 | 6) ;; *) break ;; esac
  done
  if [ "$code" = 0 ]; then
    asked="$asked $1"
    versions_rise
  else
    failed "change $1 ended with $code: $(cat "$RUN/change-$1.txt")"
  fi
}

# versions_rise checks that the version in force is not lower than an earlier
# one.
versions_rise() {
  now=$(status | "$FAULTS" version 2>/dev/null) || return 0
  [ "$now" -ge "$seen" ] || broken "version $now was in force after $seen"
  seen=$now
}

# all_once checks that each accepted change is in the history exactly once.
all_once() {
  await 10 settled || failed "the entries did not take the last version"
  "$BIN/kingcupknot" --json config history --limit 1000 >"$RUN/history.json" 2>&1
  # shellcheck disable=SC2086
  "$FAULTS" once $asked <"$RUN/history.json" >"$RUN/once.txt" 2>&1
  case $? in 0) ;; 1) broken "$(cat "$RUN/once.txt")" ;; *) failed "$(cat "$RUN/once.txt")" ;; esac
  cat "$RUN/once.txt"
}

run_control_killed() {
  asked="" seen=0
  begin
  start_load 12s id --move
  accepted a1
  old=$(leader_now)
  gone "$old"
  fault kill-leader
  accepted a2
  restart_vm "$old"
  accepted a3
  await 10 settled || failed "the old leader did not catch up"
  lead=$(leader_now)
  for vm in muscat-1-control muscat-2-control muscat-3-control; do
    [ "$vm" = "$lead" ] && continue
    gone "$vm"
    fault kill-member
    accepted "b-$vm"
    restart_vm "$vm"
    await 10 settled || failed "$vm did not catch up"
  done
  accepted a4
  old=$(leader_now)
  make_change a5 &
  changing=$!
  gone "$old"
  fault kill-leader-in-change
  wait "$changing"
  accepted a5
  restart_vm "$old"
  all_once
  end_load
}

run_disk() {
  asked="" seen=0
  begin
  start_load 12s token --move
  accepted c1
  lead=$(leader_now)
  lost=muscat-1-control
  [ "$lead" = "$lost" ] && lost=muscat-2-control
  gone "$lost"
  rm -rf "${RUN:?}/data-$(echo "$lost" | tr -dc 0-9)"
  fault lose-disk
  accepted c2
  restart_vm "$lost"
  sleep 1
  await 15 replaced "$lost" || failed "$lost was not replaced: $(cat "$RUN/replace.txt")"
  status | "$FAULTS" caught "$lost" || failed "$lost is no voter after its replacement was done"
  for vm in muscat-1-control muscat-2-control muscat-3-control; do
    [ "$vm" = "$lost" ] || [ "$vm" = "$(leader_now)" ] || break
  done
  gone "$vm"
  fault lose-second-after-repair
  accepted c3
  accepted c4
  restart_vm "$vm"
  all_once
  end_load
}

replaced() {
  "$BIN/kingcupknot" --timeout 10s control replace --incarnation 0 "$1" >"$RUN/replace.txt" 2>&1
}

run_operators() {
  asked="" seen=0
  begin
  for round in 1 2 3 4 5 6; do
    version=$(status | "$FAULTS" version)
    (make_change "x$round" --if-version "$version" && echo "$code" >"$RUN/x") &
    one=$!
    (make_change "y$round" --if-version "$version" && echo "$code" >"$RUN/y") &
    wait "$one"
    wait $!
    x=$(cat "$RUN/x") y=$(cat "$RUN/y")
    case "$x $y" in
    "0 3") asked="$asked x$round" won=x$round ;;
    "3 0") asked="$asked y$round" won=y$round ;;
    *) broken "two changes with version $version ended with $x and $y" && continue ;;
    esac
    fault race
    cp "$RUN/change-$won.txt" "$RUN/first.txt"
    make_change "$won" --if-version "$version"
    fault resend
    [ "$code" = 0 ] && cmp -s "$RUN/first.txt" "$RUN/change-$won.txt" ||
      broken "the resend of $won ended with $code and another answer"
    versions_rise
  done
  all_once
}

# quiet_now makes a stand-in leave and checks that it gets no new statements
# from callers afterwards.
quiet_now() { # instance
  n=$(number_of "$1")
  admin="127.0.0.1:$((${PORTS}700 + n * 10 + ${1##*-}))"
  "$FAULTS" post "http://$admin/leave" || { failed "$1 takes no orders"; return; }
  fault "leave-$2"
  sleep 3
  first=$("$FAULTS" statements "$admin")
  sleep 2
  second=$("$FAULTS" statements "$admin")
  [ "$first" = "$second" ] || broken "$1 left and got more: $first, then $second"
}

run_leave() {
  begin
  start_load 14s id --move
  old=$(primary_now stock)
  quiet_now "stock-$((${old##*-} % 3 + 1))" replica
  quiet_now "$(primary_now orders)" primary
  end_load
}

# Each of the three runs below restarts one kind of process by SIGTERM, so that
# an interrupted request shows which kind of process interrupted it; run_rolling
# restarts all kinds.
run_rolling_entries() {
  begin
  start_load 16s token --move
  roll_entries
  end_planned
}

run_rolling_control() {
  begin
  start_load 10s token --move
  roll_controls
  end_planned
}

run_rolling_upstreams() {
  begin
  start_load 16s token --move
  roll_upstreams
  end_planned
}

run_rolling() {
  begin
  start_load 34s token --move
  roll_entries
  roll_controls
  roll_upstreams
  end_planned
}

# end_planned ends the load and checks that planned stops interrupted no
# request: no operation failed and no outcome is unknown.
end_planned() {
  end_load
  case $said in
  *"unknown=0 failed=0"*) ;;
  *) broken "planned stops cut work: $said" ;;
  esac
}

roll_entries() {
  for i in 1 2 3; do
    for j in 1 2; do
      planned "muscat-$i-entry-$j"
      restart_vm "muscat-$i-entry-$j"
      sleep 0.5
    done
  done
}

roll_controls() {
  last=$(leader_now)
  for vm in muscat-1-control muscat-2-control muscat-3-control; do
    [ "$vm" = "$last" ] || roll_control "$vm"
  done
  roll_control "$last"
}

roll_upstreams() {
  for i in 2 3 1; do
    for service in $SERVICES; do roll_upstream "$service" "$service-$i"; done
  done
}

roll_control() {
  planned "$1"
  restart_vm "$1"
  await 10 settled || failed "$1 did not come back"
}

roll_upstream() { # service, instance
  if [ "$(primary_now "$1")" = "$2" ]; then
    "$BIN/kingcupknot" primary switch "$1" >"$RUN/switch.txt" 2>&1 || failed "no switch: $(cat "$RUN/switch.txt")"
  fi
  planned "$2"
  rejoin "$2" "$(primary_now "$1")"
  await 10 settled || failed "$2 did not come back"
}
