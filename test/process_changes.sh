#!/bin/bash
# process_changes.sh -- planned changes to running processes fail no request
#
# The changes: a drain by the operator, graceful stops of an agent and of a
# balancer, a new balancer and a new backend server, weights and ranks.

cd "$(dirname "$0")/.." || exit 1
. examples/deploy.sh
begin_test
deploy examples/clinic.conf >/dev/null 2>&1 || fail deploy
LOADS="intake-desk,10.81.0.1:7101,statement,150,0,800,4,150,0
guidance-shelf,10.81.0.2:7103,guidance,60,0,20000,5,150,0"
run_load load --seed 21 --run-s 14 --open-rate 25 --loss 30 --doubling 30

sleep 1.5
ctl --backend intake-desk-1 --wait drain intake-desk 2>/dev/null || fail drain
sleep 3
before=$(metric intake-desk-1 agent_flows_placed_here_total)
start_backend intake-desk-8 tll1 intake-desk 7
ctl --backend intake-desk-2 weigh intake-desk 300 >/dev/null || fail weigh
start_balancer tll2-b2 tll2
sleep 1
kill -TERM "${PID_OF[intake-desk-3-agent]}"
kill -TERM "${PID_OF[tll1-b1]}"
ctl_admin=${IP_OF[tll2-b1]}
ctl --admin "$ctl_admin:$ADMIN" --dc tll3 rank intake-desk 4 >/dev/null ||
  fail rank
sleep 4
after=$(metric intake-desk-1 agent_flows_placed_here_total)
[ "$before" = "$after" ] || fail "drained, but $((after - before)) new flows"
finish_load load || fail "flows broke"
wait "${PID_OF[intake-desk-3-agent]}" || fail "the agent stopped with status $?"
wait "${PID_OF[tll1-b1]}" || fail "the balancer stopped with status $?"
[ "$(load_result load '[.classes[].refused] | add')" = 0 ] || fail refused
[ "$(load_result load '[.classes[].answered] | add')" -gt 1000 ] ||
  fail "too few requests for a result"
ctl --admin "$ctl_admin:$ADMIN" show flows | grep -q 'intake-desk-1 ' ||
  fail "show flows does not list the drained backend server"
