# datagram.sh -- functions that start and stop a deployment with the datagram
# transport, in which the backend servers terminate the flows, and with
# stand-ins for the users' platform; to be sourced after deploy.sh

# If OUTER is set to a network other than NET, the instances address each other
# by their addresses in OUTER, and standin-wire relays the traffic between them,
# so that network faults can be injected.
PACKETS=7100 LINK=7110 HTTP=8410 HEARTBEATS=8420 OUTGOING=7120 APP=9100
ROUTE=198.18.0.1:443
STORE_IP=$NET.4
OUTER=${OUTER:-$NET}

# outer IP: prints the address that the other instances use for IP
outer () { echo "$OUTER.${1##*.}"; }

start_wire () {
  start wire "$BIN/standin-wire" --inner "$NET" --outer "$OUTER" \
    --hosts "${HOSTS:-40}" --udp $PACKETS,$LINK,$CONTROL \
    --tcp $HTTP,$HEARTBEATS,8600 --control "$NET.3:7000" --seed "${SEED:-1}"
}

# wire COMMAND...: sends standin-wire a command that starts or ends a network
# fault
wire () { echo -n "$*" >"/dev/udp/$NET.3/7000"; }

# store_fault SETTING: injects a fault into the stand-in of the object store
store_fault () { curl -sf -X POST --data "$1" "http://$STORE_IP:8600/fault" >/dev/null; }

start_store () {
  start store "$BIN/standin-store" --listen "$STORE_IP:8600"
  wait_for 10 curl -sf "http://$STORE_IP:8600/stats"
}

# put_routes VERSION SERVICE [PORT]: writes a route table with one route, to
# SERVICE; creates the object, or replaces it if it exists
put_routes () {
  local spec="{\"version\":$1,\"routes\":[{\"name\":\"r\",\"host\":\"198.18.0.1\",
    \"pathPrefix\":\"/${3:-443}/\",\"type\":\"idempotent\",\"timeoutMs\":5000,
    \"targetLatencyMs\":500,\"priority\":1,\"service\":\"$2\"}],
    \"services\":[{\"name\":\"$2\",\"healthCheckPath\":\"/health\",
    \"maxConnections\":2000}],\"limits\":{\"idleTimeoutMs\":15000}}"
  curl -sf -X POST --data "{\"meta\":{\"name\":\"main\"},\"spec\":$spec}" \
    "http://$STORE_IP:8600/v1/objects/config" >/dev/null ||
    curl -sf -X PUT --data "{\"meta\":{\"name\":\"main\"},\"spec\":$spec}" \
      "http://$STORE_IP:8600/v1/objects/config/main" >/dev/null
}

# new_instance NAME: assigns an address to an instance unless it has one
new_instance () {
  [ -n "${IP_OF[$1]}" ] && return
  new_ip
  IP_OF[$1]=$IP
}

# start_dispatcher ID DC: starts a balancer; CLOCK is the offset of its clock in
# milliseconds
start_dispatcher () {
  new_instance "$1"
  start "$1" "$BIN/boragelatchd" --role=balancer --transport=datagram \
    --id="$1" --dc="$2" --ip="$(outer "${IP_OF[$1]}")" \
    --listen-ip="${IP_OF[$1]}" --seeds="$SEEDS" \
    --packets="${IP_OF[$1]}:$PACKETS" --http="${IP_OF[$1]}:$HTTP" \
    --control-port=$CONTROL --link-port=$LINK --store="$OUTER.4:8600" \
    --clock-offset-ms="${CLOCK:-0}" ${GRACE_S:+--stop-grace-s=$GRACE_S}
}

# start_passthrough ID DC SERVICE: starts a pass-through agent; CLOCK as for
# start_dispatcher
start_passthrough () {
  new_instance "$1"
  start "$1-agent" "$BIN/boragelatchd" --role=agent --transport=datagram \
    --id="$1" --dc="$2" --ip="$(outer "${IP_OF[$1]}")" \
    --listen-ip="${IP_OF[$1]}" --seeds="$SEEDS" \
    --packets="${IP_OF[$1]}:$PACKETS" --outgoing="${IP_OF[$1]}:$OUTGOING" \
    --http="${IP_OF[$1]}:$HTTP" --heartbeats="${IP_OF[$1]}:$HEARTBEATS" \
    --control-port=$CONTROL --store="$OUTER.4:8600" --service="$3" \
    --backend="${IP_OF[$1]}:$APP" --heartbeat-ms=500 \
    --clock-offset-ms="${CLOCK:-0}" ${GRACE_S:+--stop-grace-s=$GRACE_S}
}

# start_server ID DC SERVICE: starts a backend server
start_server () {
  new_instance "$1"
  start "$1-server" "$BIN/standin-server" --name "$1" --service "$3" \
    --zone "$2" --app "${IP_OF[$1]}:$APP" --outbound "${IP_OF[$1]}:$OUTGOING" \
    --heartbeats "$(outer "${IP_OF[$1]}"):$HEARTBEATS" --slots "${SLOTS:-4}" --work-ms 5
}

dispatcher_ready () { curl -sf "http://${IP_OF[$1]}:$HTTP/v1/readiness"; }

# agents_known COUNT: succeeds if every balancer lists exactly that many ready
# agents
agents_known () {
  local id n
  for id in b1 b2 b3; do
    n=$(curl -sf "http://${IP_OF[$id]}:$HTTP/v1/status" |
      jq '[.instances[] | select(.service != "" and .state == "ready")] | length')
    [ "$n" = "$1" ] || return 1
  done
}

# deploy_datagram: starts three balancers, four backend servers of "web" and two
# of "other" with their agents, and waits until every balancer lists the six
# agents as ready and balancer b3 is ready
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

# callers NAME FLAGS...: starts callers in the background, with flags for
# standin-callers
callers () {
  local name=$1
  shift
  start "$name" "$BIN/standin-callers" --local "$NET.5:$PACKETS" \
    --route "$ROUTE" --balancers "${IP_OF[b1]},${IP_OF[b2]},${IP_OF[b3]}" \
    --http-port $HTTP "$@"
}

# result NAME FIELD: prints a count from the summary that callers print last
result () { grep -o "$2=[0-9]*" "$RUN/$1.out" | cut -d= -f2; }

# kept NAME: fails the script unless the invariants that hold under any fault
# hold for the callers NAME: no answer was wrong, no altered packet reached a
# backend server, no request reached a backend server of another service, and no
# request that may run only once ran twice (their ids start with "o").
kept () {
  [ "$(result "$1" wrong)" = 0 ] || fail "wrong answers: $(tail -1 "$RUN/$1.out")"
  ! grep -q forged "$RUN"/*-server.out || fail "a backend server received an altered packet"
  [ -z "$(cat "$RUN"/o?-server.out)" ] || fail "another service ran requests"
  [ -z "$(cat "$RUN"/*-server.out | grep "run o" | sort | uniq -d)" ] ||
    fail "a request ran twice"
}

# fail TEXT...: prints TEXT and the last log lines of the balancers, and exits
fail () { echo "$*" >&2; tail -n 5 "$RUN"/b?.out >&2; exit 1; }
