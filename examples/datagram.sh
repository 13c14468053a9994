# datagram.sh -- starts and stops a deployment on which backend servers end
# flows themselves, with the stand-ins of the users' platform; to be sourced
# after deploy.sh

# With OUTER set to another network, instances know each other by their addresses
# there, and standin-wire stands between them.
PACKETS=7100 LINK=7110 HTTP=8410 BEATS=8420 OUTGOING=7120 APP=9100
ROUTE=198.18.0.1:443
STORE_IP=$NET.4
OUTER=${OUTER:-$NET}

# outer IP: the address by which others know it
outer () { echo "$OUTER.${1##*.}"; }

start_wire () {
  start wire "$BIN/standin-wire" --inner "$NET" --outer "$OUTER" \
    --hosts "${HOSTS:-40}" --udp $PACKETS,$LINK,$CONTROL \
    --tcp $HTTP,$BEATS,8600 --control "$NET.3:7000" --seed "${SEED:-1}"
}

# wire COMMAND...: a fault of the network
wire () { echo -n "$*" >"/dev/udp/$NET.3/7000"; }

store_fault () { curl -sf -X POST --data "$1" "http://$STORE_IP:8600/fault" >/dev/null; }

start_store () {
  start store "$BIN/standin-store" --listen "$STORE_IP:8600"
  wait_for 10 curl -sf "http://$STORE_IP:8600/stats"
}

# put_routes VERSION SERVICE: one route that leads to SERVICE
put_routes () {
  local spec="{\"version\":$1,\"routes\":[{\"name\":\"r\",\"host\":\"198.18.0.1\",
    \"pathPrefix\":\"/443/\",\"type\":\"idempotent\",\"timeoutMs\":5000,
    \"targetLatencyMs\":500,\"priority\":1,\"service\":\"$2\"}],
    \"services\":[{\"name\":\"$2\",\"healthCheckPath\":\"/health\",
    \"maxConnections\":2000}],\"limits\":{\"idleTimeoutMs\":15000}}"
  curl -sf -X POST --data "{\"meta\":{\"name\":\"main\"},\"spec\":$spec}" \
    "http://$STORE_IP:8600/v1/objects/config" >/dev/null ||
    curl -sf -X PUT --data "{\"meta\":{\"name\":\"main\"},\"spec\":$spec}" \
      "http://$STORE_IP:8600/v1/objects/config/main" >/dev/null
}

# new_instance NAME: gives it an address unless it has one
new_instance () {
  [ -n "${IP_OF[$1]}" ] && return
  new_ip
  IP_OF[$1]=$IP
}

# start_dispatcher ID DC
start_dispatcher () {
  new_instance "$1"
  start "$1" "$BIN/boragelatchd" --role=balancer --transport=datagram \
    --id="$1" --dc="$2" --ip="$(outer "${IP_OF[$1]}")" \
    --listen-ip="${IP_OF[$1]}" --seeds="$SEEDS" \
    --packets="${IP_OF[$1]}:$PACKETS" --http="${IP_OF[$1]}:$HTTP" \
    --control-port=$CONTROL --link-port=$LINK --store="$OUTER.4:8600" \
    --clock-offset-ms="${CLOCK:-0}"
}

# start_passthrough ID DC SERVICE: an agent
start_passthrough () {
  new_instance "$1"
  start "$1-agent" "$BIN/boragelatchd" --role=agent --transport=datagram \
    --id="$1" --dc="$2" --ip="$(outer "${IP_OF[$1]}")" \
    --listen-ip="${IP_OF[$1]}" --seeds="$SEEDS" \
    --packets="${IP_OF[$1]}:$PACKETS" --outgoing="${IP_OF[$1]}:$OUTGOING" \
    --http="${IP_OF[$1]}:$HTTP" --heartbeats="${IP_OF[$1]}:$BEATS" \
    --control-port=$CONTROL --store="$OUTER.4:8600" --service="$3" \
    --backend="${IP_OF[$1]}:$APP" --heartbeat-ms=500 \
    --clock-offset-ms="${CLOCK:-0}"
}

# start_server ID DC SERVICE: a backend server
start_server () {
  new_instance "$1"
  start "$1-server" "$BIN/standin-server" --name "$1" --service "$3" \
    --zone "$2" --app "${IP_OF[$1]}:$APP" --outbound "${IP_OF[$1]}:$OUTGOING" \
    --heartbeats "$(outer "${IP_OF[$1]}"):$BEATS" --slots "${SLOTS:-4}" --work-ms 5
}

dispatcher_ready () { curl -sf "http://${IP_OF[$1]}:$HTTP/v1/readiness"; }

# agents_known COUNT: every balancer knows that many ready agents
agents_known () {
  local id n
  for id in b1 b2 b3; do
    n=$(curl -sf "http://${IP_OF[$id]}:$HTTP/v1/status" |
      jq '[.instances[] | select(.service != "" and .state == "ready")] | length')
    [ "$n" = "$1" ] || return 1
  done
}

# deploy_datagram: three balancers, four servers of "web", two of "other"
deploy_datagram () {
  local i
  for i in 1 2 3; do new_instance b$i; done
  SEEDS="$(outer "${IP_OF[b1]}"):1,$(outer "${IP_OF[b2]}"):1"
  [ "$OUTER" = "$NET" ] || start_wire
  start_store && put_routes 1 web || return 1
  for i in 1 2 3; do start_dispatcher b$i dc$i; done
  for i in 1 2 3 4; do
    start_passthrough w$i dc$i web
    start_server w$i dc$i web
  done
  for i in 1 2; do
    start_passthrough o$i dc$i other
    start_server o$i dc$i other
  done
  wait_for 20 agents_known 6 && wait_for 20 dispatcher_ready b3
}

# callers NAME OPTIONS...: starts callers in the background
callers () {
  local name=$1
  shift
  start "$name" "$BIN/standin-callers" --local "$NET.5:$PACKETS" \
    --route "$ROUTE" --balancers "${IP_OF[b1]},${IP_OF[b2]},${IP_OF[b3]}" \
    --http-port $HTTP "$@"
}

# result FIELD: of the callers' last line
result () { grep -o "$2=[0-9]*" "$RUN/$1.out" | cut -d= -f2; }

# kept NAME: what must hold whatever happened.  Nothing forged or of another
# service reached a server, no answer was wrong, nothing ran twice that may not.
kept () {
  [ "$(result "$1" wrong)" = 0 ] || fail "wrong answers: $(tail -1 "$RUN/$1.out")"
  ! grep -q forged "$RUN"/*-server.out || fail "a server got a changed packet"
  [ -z "$(cat "$RUN"/o?-server.out)" ] || fail "another service ran requests"
  [ -z "$(cat "$RUN"/*-server.out | grep "run o" | sort | uniq -d)" ] ||
    fail "a request ran twice"
}

fail () { echo "$*" >&2; tail -n 5 "$RUN"/b?.out >&2; exit 1; }
