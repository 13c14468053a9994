#!/bin/bash
# A machine with a backend gets its power back: the backend and the node beside
# it start together, and the node is killed once within the first second.  Later
# a balancer is stopped: are the flows that were opened before the kill kept?
# shellcheck source=review/deploy-2.sh
source "$(dirname "$0")/../deploy-2.sh"

judge () { broken_flows; }

deploy 2 2
sleep 5
# A machine is added: its backend is a moment ahead of the node.
backend 3
sleep 0.1
agent 3
sleep 0.25
users --flows 120 --gap-ms 5 --requests 2 --pause-ms 6500 --run-ms 14000
sleep 0.6
if [ "$TROUBLE" != 0 ]; then
  crash side-3
  sleep 0.1
  agent 3
fi
sleep 2.5
term frontend-1
wait "${PID[users]}"
