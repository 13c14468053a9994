#!/bin/bash
# process_silent.sh -- flows without packets for longer than the idle time
#
# The agent probes such flows.  Flows of vanished callers must be closed and
# their entries freed; a caller that returns must be notified at its next packet;
# flows of callers that answer the probes must stay open.

cd "$(dirname "$0")/.." || exit 1
. examples/deploy.sh
begin_test
cat >"$RUN/one.conf" <<'C'
DCS="tll1 tll2"
BALANCERS_PER_DC=1
SERVICES="intake-desk:10.81.0.1:3:7"
LISTEN_intake_desk="7101:statement:7"
C
IDLE_S=2
deploy "$RUN/one.conf" >/dev/null 2>&1 || fail deploy
open_flows () {
  local id n=0
  for id in "${BACKEND_IDS[@]}"; do
    n=$((n + $(metric "$id" agent_connections_open)))
  done
  echo $n
}
has_open () { [ "$(open_flows)" = "$1" ]; }

# Pauses far beyond the idle time, by callers that answer probes.
LOADS="intake-desk,10.81.0.1:7101,quiet,10,2,300,3,6000,0"
run_load quiet --seed 61
finish_load quiet || fail "idle flows of live callers were closed"

# Callers that vanish.
LOADS="intake-desk,10.81.0.1:7101,gone,20,0,300,3,600000,0"
run_load gone --seed 62
wait_for 10 has_open 20 || fail "20 flows should be open: $(open_flows)"
kill -STOP "${PID_OF[gone]}"
wait_for 30 has_open 0 || fail "$(open_flows) flows of gone callers are open"
# The callers continue and must detect at their next packet that the flow has
# ended, rather than hang.
kill -CONT "${PID_OF[gone]}"
kill -TERM "${PID_OF[gone]}"
wait "${PID_OF[gone]}"
[ "$(load_result gone '[.classes[].flows_broken] | add')" = 20 ] ||
  fail "callers did not notice: $(load_result gone .classes)"
