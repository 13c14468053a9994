# deploy.sh -- functions for the scripts of the review: start and stop a small
# deployment on loopback addresses; to be sourced from the folder of a case
#
# The commands of balancers and agents are those of deploy/system.toml, with the
# placeholders filled in.  Settings are those of the clinic's site: heartbeats
# every 770 ms, gracePeriodS 6, drainPeriodMs 3000.  The output of each process
# is in $RUN, and record.txt is written in the folder of the case.

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
CASE=$(cd "$(dirname "$0")" && pwd)
RECORD=$CASE/record.txt
TROUBLE=${TROUBLE:-1}
RUN=$(mktemp -d)
PACKETS=8172 OUTBOUND=8162 HTTP=8167 HEARTBEATS=8166 APP=8165
CONTROL=7720 LINK=7735 METRICS=7725 STORE_PORT=8169
ROUTE=198.18.0.1:443
STORE=build/standin-store # the program
declare -A PID_OF IP_OF
START_MS=$(date +%s%3N)

cd "$ROOT" || exit 2
: >"$RECORD"

# record TEXT...: adds a line with the time in milliseconds to record.txt
record () { echo "$(($(date +%s%3N) - START_MS)) $*" >>"$RECORD"; }

# port_is_used IP PORT
port_is_used () { (exec 3<>"/dev/tcp/$1/$2") 2>/dev/null; }

# A network of 127.0.0.0/8 on which nothing listens on the store's port.
choose_net () {
  local i
  for i in 1 2 3 4 5; do
    NET=127.$((10 + RANDOM % 200)).$((1 + RANDOM % 250))
    port_is_used $NET.4 $STORE_PORT || return 0
  done
  return 1
}

start () {
  local name=$1
  shift
  "$@" >>"$RUN/$name.out" 2>>"$RUN/$name.log" &
  PID_OF[$name]=$!
}

# stop NAME: sends SIGTERM and waits for the end of the process
stop () { kill -TERM "${PID_OF[$1]}"; wait "${PID_OF[$1]}" 2>/dev/null; }

is_running () { kill -0 "${PID_OF[$1]}" 2>/dev/null; }

finish () {
  local pid
  for pid in $(jobs -p); do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  [ -n "$KEEP" ] && echo "logs in $RUN" || rm -rf "$RUN"
}
trap finish EXIT
trap 'exit 2' TERM INT

cannot_run () { record "cannot run: $*"; echo "cannot run: $*" >&2; exit 2; }

# http METHOD IP PORT PATH [BODY]: prints the status code of the response
http () {
  local line
  exec 3<>"/dev/tcp/$2/$3" || return 1
  printf '%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s' \
    "$1" "$4" "$2" "${#5}" "$5" >&3
  read -r -t 2 line <&3
  cat <&3 >"$RUN/http.body"
  exec 3>&- 3<&-
  line=${line#* }
  echo "${line%% *}"
}

# wait_for SECONDS COMMAND...
wait_for () {
  local tries=$(($1 * 10))
  shift
  while ! "$@" >/dev/null 2>&1; do
    tries=$((tries - 1))
    [ $tries -gt 0 ] || return 1
    sleep 0.1
  done
}

start_store () {
  start store "$STORE" --listen "$NET.4:$STORE_PORT"
  wait_for 10 port_is_used "$NET.4" $STORE_PORT
}

# config_of VERSION IDLE_MS PORT: sets SPEC to a configuration with one route, to
# intake-desk, whose requests may run once at most
config_of () {
  SPEC="{\"version\":$1,\"routes\":[{\"name\":\"r-statements-$3\",\"host\":\"198.18.0.1\",\"pathPrefix\":\"/$3/\",\"type\":\"non_idempotent\",\"timeoutMs\":5000,\"targetLatencyMs\":300,\"priority\":1,\"service\":\"intake-desk\",\"maxAttempts\":2}],\"services\":[{\"name\":\"intake-desk\",\"healthCheckPath\":\"/health\",\"maxConnections\":2000,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":$2}}"
}

# put_config VERSION IDLE_MS [PORT]: writes the configuration
put_config () {
  local port=${3:-443} method=POST name= status
  [ "$1" = 1 ] || method=PUT name=/main
  config_of "$1" "$2" "$port"
  status=$(http $method $NET.4 $STORE_PORT "/v1/objects/config$name" \
    "{\"meta\":{\"name\":\"main\"},\"spec\":$SPEC}")
  record "operator wrote config/main version=$1 port=$port idleTimeoutMs=$2 status=$status revision=$(grep -o '"revision":[0-9]*' "$RUN/http.body" | head -n 1)"
  [ "${status:0:1}" = 2 ]
}

# start_balancer ID ZONE
start_balancer () {
  local ip=${IP_OF[$1]}
  start "$1" target/boragelatchd --role=balancer --transport=datagram --id="$1" \
    --dc="$2" --ip="$ip" --seeds="$SEEDS" --packets="$ip:$PACKETS" \
    --http="$ip:$HTTP" --control-port=$CONTROL --link-port=$LINK \
    --stop-grace-s=6 --link-mbps=1000.0 --store="$NET.4:$STORE_PORT" \
    --metrics-port=$METRICS
  record "started balancer $1"
}

# start_agent ID ZONE
start_agent () {
  local ip=${IP_OF[$1]}
  start "$1" target/boragelatchd --role=agent --transport=datagram --id="$1" \
    --dc="$2" --ip="$ip" --seeds="$SEEDS" --packets="$ip:$PACKETS" \
    --outgoing="$ip:$OUTBOUND" --http="$ip:$HTTP" \
    --heartbeats="$ip:$HEARTBEATS" --control-port=$CONTROL --stop-grace-s=6 \
    --store="$NET.4:$STORE_PORT" --service=intake-desk --backend="$ip:$APP" \
    --heartbeat-ms=770 --metrics-port=$METRICS
  record "started agent $1"
}

# start_server ID ZONE: the backend server beside agent ID
start_server () {
  local ip=${IP_OF[$1]}
  start "$1-server" build/standin-server --name "i-$1" --service intake-desk \
    --zone "$2" --app "$ip:$APP" --outbound "$ip:$OUTBOUND" \
    --heartbeats "$ip:$HEARTBEATS" --slots 7 --work-ms 72 --beat-ms 770
  record "started server i-$1"
}

is_ready () { [ "$(http GET "${IP_OF[$1]}" $HTTP /v1/readiness)" = 200 ]; }

# knows_agents ID COUNT: balancer ID lists COUNT ready agents
knows_agents () {
  http GET "${IP_OF[$1]}" $HTTP /v1/status >/dev/null
  [ "$(grep -o '"service":"intake-desk","state":"ready"' "$RUN/http.body" | wc -l)" = "$2" ]
}

# deploy IDLE_MS: three balancers, and four backend servers with their agents
deploy () {
  local i
  [ -x target/boragelatchd ] && [ -x build/standin-store ] &&
    [ -x build/standin-server ] && [ -x build/review-client ] ||
    cannot_run "programs are missing: run the build of the deploy file and review/build.sh"
  choose_net || cannot_run "no free network"
  for i in 1 2 3; do IP_OF[b$i]=$NET.1$i; done
  for i in 1 2 3 4; do IP_OF[w$i]=$NET.2$i; done
  SEEDS=${IP_OF[b1]}:$HEARTBEATS,${IP_OF[b2]}:$HEARTBEATS,${IP_OF[b3]}:$HEARTBEATS
  start_store || cannot_run "the store did not start"
  put_config 1 "$1" || cannot_run "the configuration was not written"
  for i in 1 2 3; do start_balancer b$i zone-$i; done
  for i in 1 2 3 4; do
    start_agent w$i zone-$((1 + i % 3))
    start_server w$i zone-$((1 + i % 3))
  done
  for i in 1 2 3; do
    wait_for 20 knows_agents b$i 4 && wait_for 10 is_ready b$i ||
      cannot_run "balancer b$i did not become ready"
  done
}

# start_clients FLOWS TIMES [ROUTE]
start_clients () {
  record "clients start: $1 flows to ${3:-$ROUTE}, requests at $2 ms from now"
  start clients build/review-client --local "$NET.5:$PACKETS" --route ${3:-$ROUTE} \
    --balancers "${IP_OF[b1]},${IP_OF[b2]},${IP_OF[b3]}" --http-port $HTTP \
    --flows "$1" --times "$2"
}

# wait_for_clients: waits for the clients and completes record.txt; sets TOTAL to
# their last line
wait_for_clients () {
  local name
  wait "${PID_OF[clients]}"
  for name in "${!PID_OF[@]}"; do
    [ "${name%-server}" != "$name" ] || continue
    is_running "$name" || cannot_run "$name has ended"
    grep -q forged "$RUN/$name.out" && record "$name got a changed packet"
    sed "s/^/$name: /" "$RUN/$name.out" >>"$RECORD"
  done
  sed 's/^/clients: /' "$RUN/clients.out" >>"$RECORD"
  grep -h 'event=reset' "$RUN"/b?.out "$RUN"/b?.log | sed 's/^/log: /' >>"$RECORD"
  TOTAL=$(tail -n 1 "$RUN/clients.out")
  case $TOTAL in
    *opened=0*) cannot_run "no flow opened" ;;
    total*) ;;
    *) cannot_run "the clients have failed" ;;
  esac
  echo "$TOTAL"
}

# verdict: waits for the clients and exits: 1 if an open flow was reset while its
# server lived, 0 if not
verdict () {
  wait_for_clients
  case $TOTAL in
    *" resets=0 "*) record "verdict: FLOW held"; exit 0 ;;
    *) record "verdict: FLOW broken"; exit 1 ;;
  esac
}
