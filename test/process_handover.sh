#!/bin/bash
# process_handover.sh -- agents that are restarted in turn take over the flow
# table of their earlier process from the store, so that balancers that restart
# afterwards find the owners of open flows without trying any server out

cd "$(dirname "$0")/.." || exit 1
. examples/deploy.sh
. examples/datagram.sh
begin_test
deploy_datagram || fail "deploy"

# logged ID TEXT: succeeds if the agent has logged TEXT
logged () { grep -q "$2" "$RUN/$1-agent.out"; }

callers planned --users 40 --requests 120 --seed 11
sleep 1
for round in 1 2; do
  for id in w1 w2 w3 w4; do
    stop $id-agent
    logged $id 'event=handover_written result="ok"' || fail "$id left no flow table"
    ! logged $id event=not_held || fail "round $round: a packet visited $id"
    start_passthrough $id dc1 web
    wait_for 10 logged $id 'event=taken_over' || fail "$id took nothing over"
  done
  for i in 1 2 3; do
    stop b$i
    start_dispatcher b$i dc$i
    wait_for 10 dispatcher_ready b$i || fail "b$i is not ready after its restart"
  done
done
wait "${PID_OF[planned]}" || fail "planned: $(cat "$RUN/planned.out")"
kept planned
[ "$(result planned answered)" = 4800 ] || fail "planned: $(tail -1 "$RUN/planned.out")"
grep -h "event=not_held" "$RUN"/w?-agent.out && fail "packets of open flows were probed"

# An agent that is killed leaves nothing, and its next process must not take an
# older table for its own.
kill_now w1-agent
start_passthrough w1 dc1 web
wait_for 10 logged w1 'event=handover_ignored.*why=other_process' ||
  fail "w1 took an older flow table over"
exit 0
