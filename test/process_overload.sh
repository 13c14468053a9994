#!/bin/bash
# process_overload.sh -- a flood of gallery requests beside price alerts, at
# backend servers with two slots
#
# All alerts must be answered.  The flood must be refused early, with a time to
# retry after, and no refused request may run.

cd "$(dirname "$0")/.." || exit 1
. examples/deploy.sh
begin_test
cat >"$RUN/one.conf" <<'C'
DCS="bkk1 bkk2"
BALANCERS_PER_DC=1
SERVICES="listings:10.82.0.1:2:2"
LISTEN_listings="7001:price-alert:7:1 7003:gallery:1"
C
deploy "$RUN/one.conf" >/dev/null 2>&1 || fail deploy
LOADS="listings,10.82.0.1:7001,price-alert,20,20,300,5,100,0
listings,10.82.0.1:7003,gallery,600,1,2000,60,0,0"
run_load load --seed 51 --open-rate 400
wait "${PID_OF[load]}"
alerts='.classes[] | select(.class == "price-alert")'
gallery='.classes[] | select(.class == "gallery")'
[ "$(load_result load "$alerts | .answered")" = 400 ] ||
  fail "alerts: $(load_result load "$alerts")"
[ "$(load_result load "$gallery | .refused")" -gt 100 ] ||
  fail "the flood was not refused: $(load_result load "$gallery")"
[ "$(load_result load '[.classes[].broken] | add')" = 0 ] || fail broken
ran=$(for id in "${BACKEND_IDS[@]}"; do executed "$id"; done |
  grep -c '^gallery')
[ "$ran" = "$(load_result load "$gallery | .answered")" ] ||
  fail "$ran gallery requests ran"
curl -sf "http://${IP_OF[listings-1]}:$ADMIN/metrics" |
  grep -q 'agent_wait_ms_bucket{service="listings",class="gallery"' ||
  fail "no histogram of the class"
# Backend servers that accept no connection: flows are refused, not broken.
kill -KILL "${PID_OF[listings-1-server]}" "${PID_OF[listings-2-server]}"
LOADS="listings,10.82.0.1:7001,price-alert,10,1,300,5,100,0"
run_load none --seed 52
wait "${PID_OF[none]}" || fail "$(cat "$RUN/none.out" "$RUN/none.log")"
[ "$(load_result none '[.classes[].refused] | add')" = 10 ] ||
  fail "not refused: $(load_result none .classes)"
