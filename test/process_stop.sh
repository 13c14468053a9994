#!/bin/bash
# process_stop.sh -- balancers and agents end within their grace period after
# SIGTERM, whatever their peers hold open and whether the store answers or not
#
# STOPS is the number of rounds, in which each role is stopped eight times.

cd "$(dirname "$0")/.." || exit 1
. examples/deploy.sh
. examples/datagram.sh
begin_test
GRACE_S=3
STOPS=${STOPS:-1}

# hold IP PORT TEXT: opens a connection, sends TEXT and leaves it open
hold () {
  local fd
  exec {fd}<>"/dev/tcp/$1/$2" || fail "no connection to $1:$2"
  printf '%b' "$3" >&"$fd"
  held+=("$fd")
}

release_held () {
  local fd
  for fd in "${held[@]}"; do exec {fd}>&-; done
  held=()
}

# hold_all IP PORT...: occupies all workers of an HTTP server, some with half a
# request and some with none
hold_all () {
  local ip=$1 port i
  shift
  for port in "$@"; do
    for i in 1 2 3; do
      hold "$ip" "$port" \
        'PUT /v1/instances/x HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{"ser'
      hold "$ip" "$port" 'GET /v1/rea'
      hold "$ip" "$port" ''
    done
  done
}

# must_end NAME WHAT: waits for the end of a process that got SIGTERM
must_end () {
  local tries=$((GRACE_S * 10))
  while kill -0 "${PID_OF[$1]}" 2>/dev/null; do
    tries=$((tries - 1))
    [ $tries -gt 0 ] || { stacks "$1"; fail "$1 did not end in $GRACE_S s: $2"; }
    sleep 0.1
  done
}

# stacks NAME: prints the stacks of a process's threads
stacks () { gdb -p "${PID_OF[$1]}" -batch -ex 'thread apply all bt 8' >&2 2>/dev/null; }

# The processes that are stopped, with the addresses and ports of their HTTP
# servers.
NAMES="w1-agent b1 n1 a1-agent"
declare -A ADDRESS_OF PORTS_OF

start_process () {
  case $1 in
    b1) start_dispatcher b1 dc1 ;;
    w1-agent) start_passthrough w1 dc1 web ;;
    n1) start_balancer n1 dc1 ;;
    a1-agent) start_agent a1 dc1 web 4 ;;
  esac
}

is_up () { curl -s -o /dev/null "http://${ADDRESS_OF[$1]}:${PORTS_OF[$1]%% *}/health"; }

# check_stops WHAT: starts a process of each role, brings WHAT about, sends SIGTERM
check_stops () {
  local name what=$1
  for name in $NAMES; do start_process "$name"; done
  for name in $NAMES; do wait_for 10 is_up "$name" || fail "$name is not up: $what"; done
  [[ $what != *store* ]] || kill -STOP "${PID_OF[store]}" "${PID_OF[platform]}"
  for name in $NAMES; do
    # shellcheck disable=SC2086
    [[ $what != *connections* ]] || hold_all "${ADDRESS_OF[$name]}" ${PORTS_OF[$name]}
    kill -TERM "${PID_OF[$name]}"
  done
  for name in $NAMES; do must_end "$name" "$what"; done
  for name in $NAMES; do
    wait "${PID_OF[$name]}" || fail "$name ended with status $?: $what"
    grep -q 'event=stopped' "$RUN/$name.out" || fail "$name did not log its end: $what"
  done
  kill -CONT "${PID_OF[store]}" "${PID_OF[platform]}"
  release_held
}

# is_program NAME: succeeds once the process runs boragelatchd.  A signal that comes
# before ends in the handler of the shell that was forked for it.
is_program () { [ "$(readlink "/proc/${PID_OF[$1]}/exe")" = "$(realpath "$BIN/boragelatchd")" ]; }

# check_early_stops DELAY: sends SIGTERM DELAY seconds after the start, when the
# processes may not handle signals yet
check_early_stops () {
  local name status
  for name in $NAMES; do start_process "$name"; done
  for name in $NAMES; do until is_program "$name"; do :; done; done
  sleep "$1"
  for name in $NAMES; do kill -TERM "${PID_OF[$name]}"; done
  for name in $NAMES; do
    must_end "$name" "stopped after $1 s"
    wait "${PID_OF[$name]}"
    status=$?
    [ $status = 0 ] || [ $status = $((128 + 15)) ] ||
      fail "$name ended with status $status, stopped after $1 s"
  done
}

held=()
for id in b1 b2 w1 n1 a1; do new_instance $id; done
SEEDS="${IP_OF[b1]}:1,${IP_OF[b2]}:1"
ADDRESS_OF=([w1-agent]=${IP_OF[w1]} [b1]=${IP_OF[b1]} [n1]=${IP_OF[n1]}
  [a1-agent]=${IP_OF[a1]})
PORTS_OF=([w1-agent]="$HTTP $HEARTBEATS" [b1]=$HTTP [n1]=$ADMIN [a1-agent]=$ADMIN)
start_store && put_routes 1 web && start_platform || fail "stores"
for i in $(seq "$STOPS"); do
  for what in "nothing special" "open connections" "a silent store" \
    "open connections, a silent store"; do
    check_stops "$what"
  done
  for delay in 0.00 0.01 0.02 0.05; do check_early_stops $delay; done
done
exit 0
