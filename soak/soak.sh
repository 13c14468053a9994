#!/bin/bash
# soak.sh -- random faults, from a seed, on real processes
#
# soak.sh SEED [STEPS]
#
# Runs the datagram deployment with two groups of callers and brings about a
# series of overlapping faults from outside: processes killed, stopped, paused
# and started again, the same several times in a row, with clocks that differ;
# the store away, losing answers or its history; new routes; backend servers
# draining and joining; and, by standin-wire between all instances, datagrams
# delayed, lost and cut one way, streams held up, reset and silenced.  Checks while it runs and at its
# end that
# - no answer was wrong and no packet was changed on the way,
# - no server of another service ran a request,
# - nothing that may run only once ran twice,
# - once all faults are over, every request is answered.
# It ends only processes that it started, by their ids.  The log of a seed that
# failed is kept.

cd "$(dirname "$0")/.." || exit 1
SEED=${1:?soak.sh SEED [STEPS]}
STEPS=${2:-12}
RANDOM=$SEED
NET=127.$((1 + SEED % 120)).$((1 + $$ % 250))
OUTER=127.$((121 + SEED % 120)).$((1 + $$ % 250))
. examples/deploy.sh
. examples/datagram.sh
keep=0
trap 'stop_all; [ $keep = 1 ] || rm -rf "$RUN"' EXIT

fail () {
  keep=1
  echo "seed $SEED: $* (logs in $RUN)"
  tail -n 20 "$RUN/steps"
  exit 1
}

SERVERS=(w1 w2 w3 w4)
VERSION=1

pick () { PICK=${!1}; local all=("$@"); PICK=${all[$((RANDOM % $#))]}; }

restart_agent () { start_passthrough "$1" "dc$((1 + RANDOM % 3))" web; }
restart_balancer () { start_dispatcher "$1" "dc${1#b}"; }

kill_agent () { kill -KILL "${PID_OF[$1-agent]}"; sleep 0.$((RANDOM % 9)); restart_agent "$1"; }
stop_agent () { stop "$1-agent"; restart_agent "$1"; }
pause () { kill -STOP "${PID_OF[$1]}"; sleep "$2"; kill -CONT "${PID_OF[$1]}"; }
crash_server () { kill -KILL "${PID_OF[$1-server]}"; sleep 0.$((RANDOM % 9)); start_server "$1" dc1 web; }
drain_server () { stop "$1-server"; start_server "$1" dc1 web; }

host () { echo "${IP_OF[$1]##*.}"; }

# network_fault A B: between two instances, for a while
network_fault () {
  local from to
  from=$(host "$1") to=$(host "$2")
  pick "delay $from $to 300" "delay * $to 120" "lose $from * 200" \
    "cut $from $to" "cut * $to" "cut $from *"
  echo "$PICK"
  wire "$PICK"
  (sleep $((1 + RANDOM % 3)); wire mend) &
}

# Signals in quick succession to one agent.
harass () {
  kill -STOP "${PID_OF[$1-agent]}"
  sleep 0.2
  kill -CONT "${PID_OF[$1-agent]}"
  kill -HUP "${PID_OF[$1-agent]}"
  kill_agent "$1"
  stop_agent "$1"
}

# One fault; those marked & overlap with what follows.
step () {
  local b w
  pick b1 b2 b3; b=$PICK
  pick "${SERVERS[@]}"; w=$PICK
  # Of whichever process is started next.
  CLOCK=$((RANDOM % 4 * 2500))
  case $((RANDOM % 20)) in
    0) echo "kill $b"; kill -KILL "${PID_OF[$b]}"; sleep 0.5; restart_balancer $b ;;
    1) echo "stop $b"; stop $b; restart_balancer $b ;;
    2) echo "pause $b"; pause $b 1 & ;;
    3) echo "kill agent $w"; kill_agent $w ;;
    4) echo "stop agent $w"; stop_agent $w ;;
    5) echo "pause agent $w"; pause "$w-agent" 2 & ;;
    6) echo "crash server $w"; crash_server $w ;;
    7) echo "drain server $w"; drain_server $w ;;
    8) echo "pause server $w"; pause "$w-server" 1 & ;;
    9) echo "store down"; store_fault mode=down; (sleep 2; store_fault mode=up) & ;;
    10) echo "store loses answers"; store_fault lose_answers=3 ;;
    11) echo "store forgets"; store_fault forget=1 ;;
    12)
      VERSION=$((VERSION + 1 + RANDOM % 3))
      echo "routes $VERSION"
      put_routes $VERSION web
      ;;
    13 | 14 | 15) network_fault "$b" "$w" ;;
    16) network_fault "$w" "$b" ;;
    17) echo "streams reset"; wire reset ;;
    18) echo "streams silent"; wire silence ;;
    19) echo "harass $w"; harass $w ;;
  esac
}

check () {
  [ -z "$(cat "$RUN"/*-server.out | grep forged)" ] || fail "a packet was changed"
  [ -z "$(cat "$RUN"/o?-server.out)" ] || fail "another service ran requests"
  [ -z "$(cat "$RUN"/*-server.runs "$RUN"/*-server.out 2>/dev/null | grep "run o" | sort | uniq -d)" ] ||
    fail "a request ran twice"
}

# Output of a process that is started again is kept.  A signal that reaches the
# shell's child before it has become the program is lost (4 of 300), so that is
# waited for.
start () {
  local name=$1
  shift
  "$@" >>"$RUN/$name.out" 2>>"$RUN/$name.log" &
  PID_OF[$name]=$!
  while [ "$(readlink /proc/$!/exe)" = "$(readlink /proc/$$/exe)" ]; do :; done
}

# A process that is told to stop is gone within its grace time.
stop () {
  local tries=150 pid=${PID_OF[$1]}
  kill -TERM "$pid" 2>/dev/null
  while kill -0 "$pid" 2>/dev/null; do
    tries=$((tries - 1))
    [ $tries -gt 0 ] || fail "$1 does not stop"
    sleep 0.1
  done
}

deploy_datagram || fail "deploy"
callers long --users 40 --requests 100000 --once 4 --seed $((SEED * 2))
for ((i = 0; i < STEPS; i++)); do
  step >>"$RUN/steps" 2>&1
  sleep 0.$((RANDOM % 9))
  check
done
sleep 3
store_fault mode=up
wire mend
put_routes $((VERSION + 1)) web
for b in b1 b2 b3; do wait_for 15 dispatcher_ready $b || fail "$b is not ready"; done
wait_for 15 agents_known 6 || fail "not all agents are known"
sleep 6 # requests begun before now have ended
kill -TERM "${PID_OF[long]}"
callers last --users 30 --requests 10 --once 4 --seed $((SEED * 2 + 1))
wait "${PID_OF[last]}" || fail "wrong answers: $(tail -n 1 "$RUN/last.out")"
[ "$(result last answered)" = 300 ] || fail "after all: $(tail -n 1 "$RUN/last.out")"
check
echo "seed $SEED: held, $STEPS faults"
