# deploy.sh -- functions that start and stop a deployment on the loopback
# interface; to be sourced by other scripts
#
# Each instance has its own loopback address, so all instances can use the same
# ports.  Each run has its own network, 127.A.B.0/24, derived from the process
# id of the script unless NET is set, so that concurrent runs use different
# addresses.  Processes are stopped by their process ids.
#
# BIN is the directory of the programs and RUN that of the output files.

BIN=${BIN:-build}
RUN=${RUN:-$(mktemp -d)}
NET=${NET:-127.$((1 + $$ % 250)).$((1 + $$ / 250 % 250))}
DATA=7000 CONTROL=7010 BULK=7020 ADMIN=8400
NEXT_HOST=10
TEST_LIMIT_S=${TEST_LIMIT_S:-110} # shorter than the limit in test/run.sh
declare -A PID_OF IP_OF
BALANCER_IDS=()
BACKEND_IDS=()

# start NAME COMMAND...: runs a command in the background; its stdout goes to
# $RUN/NAME.out and its stderr to $RUN/NAME.log
start () {
  local name=$1
  shift
  "$@" >"$RUN/$name.out" 2>"$RUN/$name.log" &
  PID_OF[$name]=$!
}

# stop NAME: requests a graceful stop and waits for the end of the process
stop () {
  kill -TERM "${PID_OF[$1]}" 2>/dev/null
  wait "${PID_OF[$1]}" 2>/dev/null
}

# kill_now NAME: kills a process and waits for its end, so that its addresses can
# be used again
kill_now () {
  kill -KILL "${PID_OF[$1]}"
  wait "${PID_OF[$1]}" 2>/dev/null
}

# stop_all: kills all background processes.  Only running jobs are killed, since
# the id of a process that has ended may have been reused.
stop_all () {
  local pid
  for pid in $(jobs -p); do kill -KILL "$pid" 2>/dev/null; done
  for pid in $(jobs -p); do wait "$pid" 2>/dev/null; done
}

# begin_test: to be called first by a test.  Traces the commands of the script to
# $RUN/trace.  When the script fails, the outputs of all processes are kept in
# $BIN/failed; a test that takes longer than TEST_LIMIT_S is ended, and the stacks
# of its processes are kept too.
begin_test () {
  trap end_test EXIT
  trap 'exit 143' TERM # else the first trap would not run
  exec {BASH_XTRACEFD}>"$RUN/trace"
  set -x
  mkfifo "$RUN/timer"
  (
    read -rt "$TEST_LIMIT_S" <>"$RUN/timer"
    end_overdue_test
  ) &
}

# child_pids: prints the ids of the child processes of the script, without the
# subshell that calls it
child_pids () {
  local pid
  for pid in $(<"/proc/$$/task/$$/children"); do
    [ "$pid" = "$BASHPID" ] || echo "$pid"
  done
}

# end_overdue_test: writes the stacks of the processes of the test to
# $RUN/stacks, then ends them and the script
end_overdue_test () {
  local pid pids
  pids=$(child_pids)
  for pid in $pids; do
    echo "== $pid $(tr '\0' ' ' <"/proc/$pid/cmdline")"
    timeout 10 gdb -p "$pid" -batch -ex 'thread apply all bt'
  done >"$RUN/stacks" 2>&1
  echo "the test did not end within $TEST_LIMIT_S s" >&2
  kill -TERM $$
  for pid in $pids; do kill -KILL "$pid" 2>/dev/null; done
}

# end_test: stops all processes and, if the test failed, keeps their outputs
end_test () {
  local status=$? kept
  set +x
  stop_all
  if [ $status != 0 ]; then
    kept=$BIN/failed/$(basename "$0" .sh).$$
    rm -f "$RUN/timer" # a named pipe; cp would wait for a writer
    mkdir -p "$kept" && cp "$RUN"/* "$kept"
    echo "exit status $status; the outputs of all processes are in $kept" >&2
  fi
  rm -rf "$RUN"
}

# new_ip: sets IP to the next unused address
new_ip () {
  IP=$NET.$NEXT_HOST
  NEXT_HOST=$((NEXT_HOST + 1))
}

# wait_for SECONDS COMMAND...: repeats a command until it succeeds; fails after
# about that many seconds
wait_for () {
  local tries=$(($1 * 10))
  shift
  while ! "$@" >/dev/null 2>&1; do
    tries=$((tries - 1))
    if [ $tries -le 0 ]; then
      echo "timed out waiting for: $*" >&2
      return 1
    fi
    sleep 0.1
  done
}

# ctl ARGUMENTS...: runs boragelatchctl for this deployment
ctl () {
  "$BIN/boragelatchctl" --platform "http://$NET.2:8500" \
    --admin "${IP_OF[${BALANCER_IDS[0]}]}:$ADMIN" "$@"
}

start_platform () {
  start platform "$BIN/standin-platform" --listen "$NET.2:8500"
  wait_for 10 curl -sf "http://$NET.2:8500/stats"
}

# start_balancer ID DC
start_balancer () {
  if [ -z "${IP_OF[$1]}" ]; then
    new_ip
    IP_OF[$1]=$IP
    BALANCER_IDS+=("$1")
  fi
  start "$1" "$BIN/boragelatchd" --role=balancer --id="$1" --dc="$2" \
    --ip="${IP_OF[$1]}" --data-port=$DATA --control-port=$CONTROL \
    --bulk-port=$BULK --admin-port=$ADMIN --seeds="$SEEDS" \
    --platform="http://$NET.2:8500" --random-seed=$((NEXT_HOST * 7919)) \
    ${GRACE_S:+--stop-grace-s=$GRACE_S}
}

# start_agent ID DC SERVICE SLOTS: starts the agent of a backend server
start_agent () {
  start "$1-agent" "$BIN/boragelatchd" --role=agent --id="$1" --dc="$2" \
    --service="$3" --ip="${IP_OF[$1]}" --data-port=$DATA \
    --control-port=$CONTROL --admin-port=$ADMIN --seeds="$SEEDS" \
    --backend="${IP_OF[$1]}:9000" --health="${IP_OF[$1]}:9001" \
    --answers="$NET.3:7030" --slots="$4" --random-seed=$((NEXT_HOST * 104729)) \
    ${GRACE_S:+--stop-grace-s=$GRACE_S}
}

# start_backend ID DC SERVICE SLOTS: starts a backend server and its agent
start_backend () {
  if [ -z "${IP_OF[$1]}" ]; then
    new_ip
    IP_OF[$1]=$IP
    BACKEND_IDS+=("$1")
  fi
  start "$1-server" "$BIN/standin-backend" --name "$1" --slots "$4" \
    --listen "${IP_OF[$1]}:9000" --http "${IP_OF[$1]}:9001"
  start_agent "$@"
}

all_accepting () {
  local id
  for id in "${BACKEND_IDS[@]}"; do
    curl -sf "http://${IP_OF[$id]}:$ADMIN/ready" || return 1
  done
}

all_balancers_ready () {
  local id
  for id in "${BALANCER_IDS[@]}"; do
    curl -sf "http://${IP_OF[$id]}:$ADMIN/ready" || return 1
  done
}

# backends_in_state COUNT STATE: succeeds if every balancer lists exactly that
# many backend servers in the state
backends_in_state () {
  local id n
  for id in "${BALANCER_IDS[@]}"; do
    n=$(curl -sf "http://${IP_OF[$id]}:$ADMIN/v1/status" |
      jq "[.backends[] | select(.state == \"$2\")] | length")
    [ "$n" = "$1" ] || return 1
  done
}

# create_services FLAGS...: creates the services of the deployment file, with
# flags for boragelatchctl
create_services () {
  local spec name address count slots var l args
  for spec in $SERVICES; do
    IFS=: read -r name address count slots <<<"$spec"
    var=LISTEN_${name//-/_}
    args=()
    for l in ${!var}; do args+=(--listen "$l"); done
    ctl --address "$address" --idle-s "${IDLE_S:-60}" "${args[@]}" \
      --refusal $'REFUSED retry-after=2\n' "$@" create "$name" || return 1
  done
}

# deploy FILE: starts the platform, the balancers, the backend servers and their
# agents as a deployment file describes them, creates the services, and waits
# until everything is ready.  The file sets DCS, BALANCERS_PER_DC, SERVICES,
# LISTEN_* for each service, and LOADS; examples/rotsuay.conf gives the formats.
# The backend servers of a service are distributed over the data centres in
# turn.
deploy () {
  local dc i spec name address count slots dcs
  # shellcheck disable=SC1090
  . "$1"
  read -ra dcs <<<"$DCS"
  SEEDS="$NET.10:$CONTROL,$NET.11:$CONTROL,$NET.12:$CONTROL"
  start_platform || return 1
  for dc in $DCS; do
    for ((i = 1; i <= BALANCERS_PER_DC; i++)); do
      start_balancer "$dc-b$i" "$dc"
    done
  done
  wait_for 20 all_balancers_ready || return 1
  create_services --wait || return 1
  for spec in $SERVICES; do
    IFS=: read -r name address count slots <<<"$spec"
    for ((i = 1; i <= count; i++)); do
      start_backend "$name-$i" "${dcs[$((i % ${#dcs[@]}))]}" "$name" "$slots"
    done
  done
  wait_for 30 all_accepting || return 1
  wait_for 30 backends_in_state ${#BACKEND_IDS[@]} ready
}

# run_load NAME FLAGS...: starts callers that make the loads of the deployment
# file, with flags for standin-fabric
run_load () {
  local name=$1 id load args=()
  shift
  for id in "${BALANCER_IDS[@]}"; do
    args+=(--balancer "${IP_OF[$id]}:$DATA=${IP_OF[$id]}:$ADMIN")
  done
  while read -r load; do args+=(--load "$load"); done <<<"$LOADS"
  start "$name" "$BIN/standin-fabric" --listen "$NET.3:7030" "${args[@]}" "$@"
}

# load_result NAME FILTER: applies a jq filter to the results of a load that has
# ended
load_result () {
  grep '^{' "$RUN/$1.out" | jq "$2"
}

# finish_load NAME: waits for the end of a load; prints its output and fails if
# it reports an error
finish_load () {
  wait "${PID_OF[$1]}" && return 0
  cat "$RUN/$1.out" "$RUN/$1.log"
  return 1
}

# fault QUERY: injects a fault into the stand-in of the platform
fault () {
  curl -sf -X POST "http://$NET.2:8500/fault?$1" >/dev/null
}

# executed ID: prints the ids of all requests that a backend server started
executed () {
  curl -sf "http://${IP_OF[$1]}:9001/executed"
}

# metric ID NAME: prints the value of a metric of an instance
metric () {
  curl -sf "http://${IP_OF[$1]}:$ADMIN/metrics" |
    awk -v name="boragelatch_$2" '$1 == name { print $2 }'
}

fail () {
  echo "FAILED: $*" >&2
  exit 1
}
