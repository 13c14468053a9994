#!/bin/bash
# run.sh -- the balancers are stopped and started in turn while clients keep
# flows open that are idle for less than idleTimeoutMs
#
# idleTimeoutMs is 30000 and the flows are idle for 23 s.

. "$(dirname "$0")/../deploy.sh"

deploy 30000
sleep 6
start_clients 40 0,23000
sleep 3
if [ "$TROUBLE" != 0 ]; then
  for i in 1 2 3; do
    record "SIGTERM to balancer b$i"
    stop b$i
    start_balancer b$i zone-$i
    wait_for 10 is_ready b$i || cannot_run "balancer b$i did not become ready"
    sleep 1
  done
fi
verdict
