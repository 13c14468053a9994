# deploy-2.sh -- functions that start and stop a small deployment of real
# processes; to be sourced by the scripts of cases 4 to 8
#
# Each machine has its own loopback address in a network 127.A.B.0/24 that is
# derived from the process id of the script.  The processes run with the
# commands of deploy/system.toml.  All events, with the time of the steady clock
# in ms, end in record.txt beside the script.

HERE=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$HERE/../.." || exit 2
RECORD=$HERE/record.txt
TROUBLE=${TROUBLE:-1}
BIN=target
TMP=$(mktemp -d)
NET=127.$((1 + $$ % 250)).$((1 + $$ / 250 % 250))

# is_free PORT: no socket of this machine has it
is_free () {
  ! grep -qi ":$(printf %04X "$1") " /proc/net/tcp /proc/net/udp
}

# The ports of the site's examples, or the next free ones.  The deploy file sets
# the port for metrics.
SHIFT=0
while ! { is_free $((8162 + SHIFT)) && is_free $((8165 + SHIFT)) &&
  is_free $((8166 + SHIFT)) && is_free $((8167 + SHIFT)) &&
  is_free $((8169 + SHIFT)) && is_free $((8172 + SHIFT)) &&
  is_free $((7720 + SHIFT)) && is_free $((7735 + SHIFT)); }; do
  SHIFT=$((SHIFT + 20))
done
OUTBOUND=$((8162 + SHIFT)) APP=$((8165 + SHIFT)) CONTROL=$((8166 + SHIFT))
READY=$((8167 + SHIFT)) PACKETS=$((8172 + SHIFT))
FROM=$((7720 + SHIFT)) TO=$((7735 + SHIFT))
STORE=$NET.4:$((8169 + SHIFT))
SEEDS=$NET.11:$CONTROL,$NET.12:$CONTROL
declare -A PID

finish () {
  local status=$? pid
  trap - EXIT
  for pid in "${PID[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  for pid in "${PID[@]}"; do wait "$pid" 2>/dev/null; done
  cat "$TMP"/*.out 2>/dev/null | grep -E '^[0-9]+ ' | sort -n -s -k1,1 >"$RECORD"
  judge 2>/dev/null | sed 's/^/verdict: /' | tee -a "$RECORD"
  if [ "$status" = 0 ] && ! grep -q ' users answer ' "$RECORD"; then
    status=2 # nothing was served, so nothing was tested
  elif [ "$status" = 0 ] && grep -q '^verdict: BROKEN' "$RECORD"; then
    status=1
  fi
  [ -z "$KEEP" ] || cp -r "$TMP" "$KEEP"
  rm -rf "$TMP"
  exit "$status"
}
trap finish EXIT
trap 'exit 2' TERM INT

# note TEXT...: adds an event to the record
note () { echo "$("$BIN/review/now-2") script $*" | tee -a "$TMP/script.out"; }

cannot () { note "cannot run: $*"; exit 2; }

# start NAME COMMAND...
start () {
  local name=$1
  shift
  "$@" >>"$TMP/$name.out" 2>>"$TMP/$name.err" &
  PID[$name]=$!
  note "start $name"
}

# term NAME: SIGTERM; after the 6 s of the grace period SIGKILL
term () {
  local i
  note "SIGTERM $1"
  kill -TERM "${PID[$1]}"
  for i in {1..120}; do
    kill -0 "${PID[$1]}" 2>/dev/null || break
    sleep 0.05
  done
  kill -KILL "${PID[$1]}" 2>/dev/null
  wait "${PID[$1]}" 2>/dev/null
  note "ended $1"
}

crash () {
  note "SIGKILL $1"
  kill -KILL "${PID[$1]}"
  wait "${PID[$1]}" 2>/dev/null
}

balancer () { # N
  start "frontend-$1" $BIN/boragelatchd --role=balancer --transport=datagram \
    --id="frontend-$1" --dc=z1 --ip="$NET.1$1" --seeds="$SEEDS" \
    --packets="$NET.1$1:$PACKETS" --http="$NET.1$1:$READY" --control-port=$FROM \
    --link-port=$TO --stop-grace-s=6 --link-mbps=1000.0 --store="$STORE" \
    --metrics-port=7725
}

agent () { # N
  start "side-$1" $BIN/boragelatchd --role=agent --transport=datagram \
    --id="side-$1" --dc=z1 --ip="$NET.2$1" --seeds="$SEEDS" \
    --packets="$NET.2$1:$PACKETS" --outgoing="$NET.2$1:$OUTBOUND" \
    --http="$NET.2$1:$READY" --heartbeats="$NET.2$1:$CONTROL" \
    --control-port=$FROM --stop-grace-s=6 --store="$STORE" --service=desk \
    --backend="$NET.2$1:$APP" --heartbeat-ms=1200 --metrics-port=7725
}

backend () { # N [OPTIONS]
  local n=$1
  shift
  start "backend-$n" $BIN/review/backend-2 --id "i-$n" --service desk --zone z1 \
    --app "$NET.2$n:$APP" --outbound "$NET.2$n:$OUTBOUND" \
    --beats "$NET.2$n:$CONTROL" "$@"
}

users () { # [OPTIONS]
  start users $BIN/review/users-2 --local "$NET.5:$PACKETS" \
    --route 198.18.0.1:443 --balancers "$BALANCERS" --ready-port $READY "$@"
}

store () { start store $BIN/standin-store --listen "$STORE"; }

store_fault () { # SETTING
  note "store $1"
  curl -sf --noproxy '*' -X POST --data "$1" "http://$STORE/fault" >/dev/null ||
    cannot "the store does not answer"
}

# put_config VERSION
put_config () {
  curl -sf --noproxy '*' -X POST --data "{\"meta\":{\"name\":\"main\"},\"spec\":{
    \"version\":$1,\"routes\":[{\"name\":\"r-1\",\"host\":\"198.18.0.1\",
    \"pathPrefix\":\"/443/\",\"type\":\"idempotent\",\"timeoutMs\":5000,
    \"targetLatencyMs\":300,\"priority\":1,\"service\":\"desk\"}],
    \"services\":[{\"name\":\"desk\",\"healthCheckPath\":\"/health\",
    \"maxConnections\":2000}],\"limits\":{\"idleTimeoutMs\":15000}}}" \
    "http://$STORE/v1/objects/config" >/dev/null
}

is_ready () { # N
  curl -sf --noproxy '*' -m 1 "http://$NET.1$1:$READY/v1/readiness" >/dev/null
}

known () { # BALANCER COUNT: it lists COUNT ready agents
  [ "$(curl -sf --noproxy '*' -m 1 "http://$NET.1$1:$READY/v1/status" |
    grep -o '"service": *"desk", *"state": *"ready"' | wc -l)" = "$2" ]
}

wait_for () { # COMMAND...
  local i
  for i in {1..150}; do
    "$@" && return
    sleep 0.1
  done
  cannot "timed out: $*"
}

# deploy BALANCERS AGENTS: starts both and waits until all know each other
deploy () {
  local i
  [ -x $BIN/review/backend-2 ] || { echo "run review/build-2.sh first" >&2; exit 2; }
  BALANCERS=$(for ((i = 1; i <= $1; i++)); do echo -n "$NET.1$i,"; done)
  BALANCERS=${BALANCERS%,}
  store
  wait_for curl -sf --noproxy '*' -m 1 -o /dev/null "http://$STORE/stats"
  put_config 1 || cannot "no configuration"
  for ((i = 1; i <= $1; i++)); do balancer "$i"; done
  for ((i = 1; i <= $2; i++)); do
    agent "$i"
    backend "$i"
  done
  for ((i = 1; i <= $1; i++)); do
    wait_for is_ready "$i"
    wait_for known "$i" "$2"
  done
}

# broken_flows: prints a line for each reset of the system's own that a client
# got on a flow which its backend held at that moment
broken_flows () {
  awk '$3 == "open" { held[$4] = $2 }
       $3 == "ended" { delete held[$4] }
       $2 == "users" && $3 == "reset" && $5 == "system" && ($4 in held) {
         print "BROKEN flow of port " $4 ": reset at " $1 " (" $6 \
           ") while " held[$4] " held it"
       }' "$RECORD"
}
