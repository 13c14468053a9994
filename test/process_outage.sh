#!/bin/bash
# process_outage.sh -- agents and balancers are restarted while the store is away
# for longer than an agent runs, or turns single agents away: open flows of
# servers that run are kept

cd "$(dirname "$0")/.." || exit 1
. examples/deploy.sh
. examples/datagram.sh
begin_test
deploy_datagram || fail "deploy"

UNSTORED_S=1.7 # an agent accepts flows without the store after 1.5 s
ROUNDS=2

# logged ID TEXT: succeeds if the agent has logged TEXT
logged () { grep -q "$2" "$RUN/$1-agent.out"; }

restart_agent () {
  stop "$1-agent"
  start_passthrough "$1" dc1 web
}

restart_balancers () {
  local i
  for i in 1 2 3; do
    stop b$i
    start_dispatcher b$i dc$i
    wait_for 10 dispatcher_ready b$i || fail "b$i is not ready after its restart"
  done
}

callers planned --users 40 --requests 200 --once 4 --seed 31
sleep 1
for ((round = 0; round < ROUNDS; round++)); do
  # The whole life of an agent falls into an outage of the store.
  stop w1-agent
  store_fault mode=down
  start_passthrough w1 dc1 web
  sleep $UNSTORED_S
  stop w1-agent
  store_fault mode=up
  start_passthrough w1 dc1 web
  wait_for 10 logged w1 'event=handover_read' || fail "w1 did not reach the store"
  ! logged w1 'event=taken_over.*why=last_process' ||
    fail "w1 took over the table of the process before the last"
  # The store turns one agent away, while others restart beside it.
  stop w2-agent
  store_fault turn_away=w2
  start_passthrough w2 dc2 web
  sleep $UNSTORED_S
  restart_agent w3
  restart_agent w2
  restart_agent w4
  store_fault turn_away=-
  restart_balancers
done
wait "${PID_OF[planned]}" || fail "planned: $(cat "$RUN/planned.out")"
kept planned
[ "$(result planned cut)" = 0 ] || fail "open flows were reset: $(tail -1 "$RUN/planned.out")"
[ "$(result planned answered)" = 8000 ] || fail "planned: $(tail -1 "$RUN/planned.out")"
exit 0
