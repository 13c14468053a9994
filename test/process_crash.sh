#!/bin/bash
# process_crash.sh -- processes that are killed or frozen
#
# The death or freeze of a balancer must break no flow.  The death of a backend
# server must break its own flows only.  No request may run twice.

cd "$(dirname "$0")/.." || exit 1
. examples/deploy.sh
begin_test
deploy examples/clinic.conf >/dev/null 2>&1 || fail deploy
LOADS="intake-desk,10.81.0.1:7101,statement,140,0,800,4,150,0"

run_load safe --seed 31 --run-s 9 --open-rate 60
sleep 2
kill -KILL "${PID_OF[tll1-b1]}"
kill -STOP "${PID_OF[tll2-b1]}"
sleep 3
kill -CONT "${PID_OF[tll2-b1]}"
finish_load safe || fail "flows broke when a balancer was killed"

LOADS="intake-desk,10.81.0.1:7101,crash,140,0,800,4,150,0"
run_load crash --seed 32 --run-s 12 --open-rate 70
sleep 4
kill -KILL "${PID_OF[intake-desk-4-agent]}" "${PID_OF[intake-desk-4-server]}"
wait "${PID_OF[crash]}"
elsewhere=$(load_result crash \
  '[.servers[] | select(.name != "intake-desk-4") | .broken] | add')
there=$(load_result crash \
  '[.servers[] | select(.name == "intake-desk-4") | .broken] | add')
[ "$elsewhere" = 0 ] || {
  cat "$RUN/crash.out" "$RUN/crash.log"
  fail "$elsewhere flows of other backend servers broke"
}
[ "$there" -gt 0 ] || fail "the killed server had no flow to break"
twice=$(for id in "${BACKEND_IDS[@]}"; do executed "$id"; done |
  grep -E '^(statement|crash)' | sort | uniq -d | wc -l)
[ "$twice" = 0 ] || fail "$twice requests ran twice"
