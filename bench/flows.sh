#!/bin/bash
# flows.sh -- memory and processor time of a real agent, by the number of open
# connections.  One balancer and one agent serve callers with long flows.

cd "$(dirname "$0")/.." || exit 1
. examples/deploy.sh
trap 'stop_all; rm -rf "$RUN"' EXIT
cat >"$RUN/one.conf" <<'C'
DCS="dc1"
BALANCERS_PER_DC=1
SERVICES="web:10.90.0.1:1:64"
LISTEN_web="80:usual:1"
C

# cpu_ticks PID: prints the processor time used so far, in units of 1/100 s
cpu_ticks () { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
# resident_kb PID: prints the resident memory
resident_kb () { awk '/VmRSS/ { print $2 }' "/proc/$1/status"; }

# measure FLOWS
measure () {
  local pid ticks packets kb flows=$1
  kb=$(resident_kb "$AGENT")
  LOADS="web,10.90.0.1:80,usual,$flows,0,100,1,2000,0"
  run_load "load$flows" --seed 1 --run-s 14 --open-rate 500
  sleep 8
  ticks=$(cpu_ticks "$AGENT")
  packets=$(metric web-1 agent_packets_delivered_total)
  sleep 5
  ticks=$(($(cpu_ticks "$AGENT") - ticks))
  packets=$(($(metric web-1 agent_packets_delivered_total) - packets))
  [ "$(metric web-1 agent_connections_open)" = "$flows" ] ||
    echo "FAILED: not all $flows connections are open" >&2
  echo "agent_flow_kb_$flows $(((($(resident_kb "$AGENT") - kb) * 10 / flows)))e-1 KB"
  echo "agent_packet_us_$flows $((ticks * 10000 / packets)) us"
  wait "${PID_OF[load$flows]}"
}

deploy "$RUN/one.conf" >/dev/null 2>&1 || exit 1
AGENT=${PID_OF[web-1-agent]}
measure 200
measure 800
measure 2000
