# deploy-3.sh -- starts a small deployment for the scripts of the third review;
# to be sourced.  Each instance has a loopback address of its own, and all use the
# same ports.  The programs are started with the flags of deploy/system.toml.

TROUBLE=${TROUBLE:-1}
BIN=target
RUN=$(mktemp -d)
NET=127.$((1 + $$ % 250)).$((1 + $$ / 250 % 250))
STORE=$NET.2:8169
CLIENT=$NET.3
ROUTE=198.18.0.1:8443
STORE_SEEN=$STORE # the address at which the instances reach the store
# The seeds may be stale or down (DEPLOY.md): set SEEDS to other addresses.
SEEDS=$NET.10:8166,$NET.11:8166
IDLE_MS=15000
declare -A PID_OF IP_OF

# start NAME COMMAND...: runs a command; its output goes to $RUN/NAME.log
start () {
  local name=$1
  shift
  "$@" >>"$RUN/$name.log" 2>&1 &
  PID_OF[$name]=$!
}

stop_all () {
  local pid
  for pid in "${PID_OF[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$RUN"
}
trap stop_all EXIT
trap 'exit 2' TERM INT

# unable TEXT: the case could not run
unable () { echo "cannot run: $*"; exit 2; }

# wait_for SECONDS COMMAND...: waits until a command succeeds
wait_for () {
  local i
  for ((i = $1 * 20; i > 0; i--)); do
    "${@:2}" >/dev/null 2>&1 && return
    sleep 0.05
  done
  return 1
}

# clock_ms: milliseconds of the steady clock
clock_ms () { local up; read -r up _ </proc/uptime; echo $((10#${up/./} * 10)); }

start_store () {
  start store $BIN/standin-store --listen "$STORE"
  wait_for 10 curl -sf -m 1 "http://$STORE/stats" || unable "store"
}

# put_routes VERSION SERVICE: the operator writes a configuration with one route
put_routes () {
  local spec="{\"version\":$1,\"routes\":[{\"name\":\"r\",\"host\":\"198.18.0.1\",
    \"pathPrefix\":\"/8443/\",\"type\":\"non_idempotent\",\"timeoutMs\":1200,
    \"targetLatencyMs\":150,\"priority\":1,\"service\":\"$2\",\"maxAttempts\":2}],
    \"services\":[{\"name\":\"$2\",\"healthCheckPath\":\"/health\",
    \"maxConnections\":2000,\"protocol\":\"h1\",\"tls\":false}],
    \"limits\":{\"idleTimeoutMs\":$IDLE_MS}}"
  local body="{\"meta\":{\"name\":\"main\"},\"spec\":$spec}"
  curl -sf -m 2 -X POST --data "$body" "http://$STORE/v1/objects/config" >/dev/null ||
    curl -sf -m 2 -X PUT --data "$body" "http://$STORE/v1/objects/config/main" >/dev/null
}

# start_balancer NAME HOST ZONE
start_balancer () {
  IP_OF[$1]=$NET.$2
  start "$1" $BIN/boragelatchd --role=balancer --transport=datagram --id="$1" \
    --dc="$3" --ip="$NET.$2" --seeds="$SEEDS" --packets="$NET.$2:8172" \
    --http="$NET.$2:8167" --control-port=7720 --link-port=7735 --stop-grace-s=6 \
    --link-mbps=1000.0 --store="$STORE_SEEN" --metrics-port=7725
}

# start_agent NAME HOST ZONE SERVICE
start_agent () {
  IP_OF[$1]=$NET.$2
  start "$1" $BIN/boragelatchd --role=agent --transport=datagram --id="$1" \
    --dc="$3" --ip="$NET.$2" --seeds="$SEEDS" --packets="$NET.$2:8172" \
    --outgoing="$NET.$2:8162" --http="$NET.$2:8167" --heartbeats="$NET.$2:8166" \
    --control-port=7720 --stop-grace-s=6 --store="$STORE_SEEN" --service="$4" \
    --backend="$NET.$2:8165" --heartbeat-ms=1200 --metrics-port=7725
}

# start_server NAME HOST ZONE SERVICE: the backend beside the agent at HOST
start_server () {
  start "$1" $BIN/standin-server --name "$1" --service "$4" --zone "$3" \
    --app "$NET.$2:8165" --outbound "$NET.$2:8162" --heartbeats "$NET.$2:8166" \
    --slots 4 --work-ms 15 --beat-ms 1200
}

is_ready () { curl -sf -m 1 "http://${IP_OF[$1]}:8167/v1/readiness"; }

# knows BALANCER COUNT: succeeds if the balancer lists COUNT ready agents
knows () {
  [ "$(curl -sf -m 1 "http://${IP_OF[$1]}:8167/v1/status" |
    jq '[.instances[] | select(.service != "" and .state == "ready")] | length')" = "$2" ]
}
