#!/bin/bash
# soak.sh -- injects random faults, from a seed, into running processes
#
# soak.sh SEED [STEPS]
#
# Runs the datagram deployment with two groups of callers and injects a series
# of overlapping faults from outside:
# - processes are killed, stopped, paused and restarted, also several times in a
#   row, with clocks that differ;
# - the store is down, loses answers or its history, or comes back from a copy
#   some seconds old;
# - routes change, backend servers drain and join;
# - standin-wire, between all instances, delays, drops and blocks datagrams in
#   one direction, and delays, resets and silences streams.
# During the run and at its end it checks that
# - no answer was wrong and no packet was changed in transit,
# - no server of another service ran a request,
# - no request that may run only once ran twice,
# - once all faults are over, every request is answered.
# It ends only processes that it started, by their ids.  The logs of a seed that
# failed are kept.

cd "$(dirname "$0")/.." || exit 1
SEED=${1:?soak.sh SEED [STEPS]}
STEPS=${2:-12}
RANDOM=$SEED
NET=127.$((1 + SEED % 120)).$((1 + $$ % 250))
OUTER=127.$((121 + SEED % 120)).$((1 + $$ % 250))
. examples/deploy.sh
. examples/datagram.sh
keep_logs=0
trap 'stop_all; [ $keep_logs = 1 ] || rm -rf "$RUN"' EXIT

fail () {
  keep_logs=1
  echo "seed $SEED: $* (logs in $RUN)"
  tail -n 20 "$RUN/steps"
  exit 1
}

SERVERS=(w1 w2 w3 w4)
VERSION=1

# pick WORDS...: sets PICK to one of WORDS at random
pick () { local all=("$@"); PICK=${all[$((RANDOM % $#))]}; }

restart_agent () { start_passthrough "$1" "dc$((1 + RANDOM % 3))" web; }
restart_balancer () { start_dispatcher "$1" "dc${1#b}"; }

kill_agent () { kill_now "$1-agent"; sleep 0.$((RANDOM % 9)); restart_agent "$1"; }
stop_agent () { stop "$1-agent"; restart_agent "$1"; }
pause () { kill -STOP "${PID_OF[$1]}"; sleep "$2"; kill -CONT "${PID_OF[$1]}"; }
crash_server () { kill_now "$1-server"; sleep 0.$((RANDOM % 9)); start_server "$1" dc1 web; }
drain_server () { stop "$1-server"; start_server "$1" dc1 web; }

last_octet () { echo "${IP_OF[$1]##*.}"; }

# network_fault A B: a random fault between two instances, for 1 to 3 s
network_fault () {
  local from to
  from=$(last_octet "$1") to=$(last_octet "$2")
  pick "delay $from $to 300" "delay * $to 120" "lose $from * 200" \
    "cut $from $to" "cut * $to" "cut $from *"
  echo "$PICK"
  wire "$PICK"
  (sleep $((1 + RANDOM % 3)); wire mend) &
}

# Sends signals to one agent in quick succession, then restarts it twice.
restart_twice () {
  kill -STOP "${PID_OF[$1-agent]}"
  sleep 0.2
  kill -CONT "${PID_OF[$1-agent]}"
  kill -HUP "${PID_OF[$1-agent]}"
  kill_agent "$1"
  stop_agent "$1"
}

# The store is away for up to a second and comes back from a copy that is up to
# 3 s old; the operator's writes are repeated.
restore_store () {
  store_fault copy=1
  sleep $((RANDOM % 3)).$((RANDOM % 9))
  store_fault mode=away
  sleep 0.$((RANDOM % 9))
  store_fault restore=repeat
}

# One agent lives while the store is down; its next process starts when it is back.
restart_in_outage () {
  stop "$1-agent"
  store_fault mode=down
  restart_agent "$1"
  sleep $((1 + RANDOM % 2)).$((RANDOM % 9))
  stop "$1-agent"
  store_fault mode=up
  restart_agent "$1"
}

# The store turns one agent away while it and another one restart.
restart_turned_away () {
  store_fault turn_away="$1"
  stop_agent "$1"
  sleep $((1 + RANDOM % 2)).$((RANDOM % 9))
  stop_agent "$2"
  stop_agent "$1"
  store_fault turn_away=-
}

# Injects one random fault; faults in the background overlap with the next.
inject_fault () {
  local b w v
  pick b1 b2 b3; b=$PICK
  pick "${SERVERS[@]}"; w=$PICK
  pick "${SERVERS[@]}"; v=$PICK
  # Clock offset of the next process that starts.
  CLOCK=$((RANDOM % 4 * 2500))
  case $((RANDOM % 24)) in
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
    19) echo "restart agent $w twice"; restart_twice $w ;;
    20) echo "store restored"; restore_store & ;;
    21) echo "store restored twice"; (restore_store; restore_store) & ;;
    22) echo "agent $w in an outage"; restart_in_outage $w ;;
    23) echo "store turns $w away"; restart_turned_away $w $v ;;
  esac
}

# routes_in_force VERSION: succeeds if every balancer has that version in force
routes_in_force () {
  local b
  for b in b1 b2 b3; do
    [ "$(curl -sf "http://${IP_OF[$b]}:$HTTP/v1/status" | jq .version)" = "$1" ] || return 1
  done
}

check_invariants () {
  [ -z "$(cat "$RUN"/*-server.out | grep forged)" ] || fail "a packet was changed"
  [ -z "$(cat "$RUN"/o?-server.out)" ] || fail "another service ran requests"
  [ -z "$(cat "$RUN"/*-server.runs "$RUN"/*-server.out 2>/dev/null | grep "run o" | sort | uniq -d)" ] ||
    fail "a request ran twice"
}

# Starts a process and appends to its output of earlier starts.  A signal that
# reaches the shell's child before it executes the program is lost (4 of 300),
# so this waits until the child runs the program.
start () {
  local name=$1
  shift
  "$@" >>"$RUN/$name.out" 2>>"$RUN/$name.log" &
  PID_OF[$name]=$!
  while [ "$(readlink /proc/$!/exe)" = "$(readlink /proc/$$/exe)" ]; do :; done
}

# Stops a process, which must end within its grace period.
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
  inject_fault >>"$RUN/steps" 2>&1
  sleep 0.$((RANDOM % 9))
  check_invariants
done
sleep 7 # longer than the faults in the background
store_fault mode=up
store_fault turn_away=-
wire mend
put_routes $((VERSION + 1)) web
for b in b1 b2 b3; do wait_for 15 dispatcher_ready $b || fail "$b is not ready"; done
wait_for 15 agents_known 6 || fail "balancers lack records of agents"
wait_for 15 routes_in_force $((VERSION + 1)) || fail "routes $((VERSION + 1)) are not in force"
sleep 6 # until requests that have begun end
kill -TERM "${PID_OF[long]}"
callers last --users 30 --requests 10 --once 4 --seed $((SEED * 2 + 1))
wait "${PID_OF[last]}" || fail "wrong answers: $(tail -n 1 "$RUN/last.out")"
[ "$(result last answered)" = 300 ] || fail "unanswered after all faults: $(tail -n 1 "$RUN/last.out")"
check_invariants
echo "seed $SEED: passed, $STEPS faults"
