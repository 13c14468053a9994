#!/bin/bash
# process_datagram.sh -- processes whose backend servers terminate flows
# themselves, with stand-ins for the users' platform: planned changes, kills and
# an outage of the store

cd "$(dirname "$0")/.." || exit 1
. examples/deploy.sh
. examples/datagram.sh
begin_test
deploy_datagram || fail "deploy"

# A run without faults: every request is answered.
callers calm --users 40 --requests 20 --once 4 --seed 3
wait "${PID_OF[calm]}" || fail "calm run: $(cat "$RUN/calm.out")"
kept calm
[ "$(result calm answered)" = 800 ] || fail "calm: $(tail -1 "$RUN/calm.out")"

# A heartbeat that cannot be read is refused, whatever it is; the agent goes on.
for size in 10 1000 2000 60000 70000; do
  status=$(head -c $size /dev/zero | tr '\0' '[' |
    curl -s -o /dev/null -w '%{http_code}' -X PUT --data-binary @- \
      "http://${IP_OF[w1]}:$HEARTBEATS/v1/instances/w1")
  [ $size -gt 65535 ] && want=413 || want=400
  [ "$status" = $want ] || fail "a heartbeat of $size bytes [: status $status, not $want"
done
kill -0 "${PID_OF[w1-agent]}" || fail "an unreadable heartbeat ended the agent"

# What is not in force is not acknowledged: a late heartbeat, one without a start
# time, one of another address.
late="{\"service\":\"web\",\"address\":\"${IP_OF[w1]}:$APP\",\"zone\":\"dc1\",
  \"version\":\"v1\",\"concurrencyLimit\":4,\"state\":\"draining\",
  \"warmupRemainingMs\":0,\"sequence\":9,\"born\":1}"
for case in "409 $late" "400 ${late/,\"born\":1/}" "400 ${late/:$APP/:1}"; do
  status=$(curl -s -o /dev/null -w '%{http_code}' -X PUT --data "${case#* }" \
    "http://${IP_OF[w1]}:$HEARTBEATS/v1/instances/w1")
  [ "$status" = "${case%% *}" ] || fail "status $status for $case"
done

# Planned changes under load: a balancer and an agent restart, a backend server
# drains, another joins.  Every request is answered.
callers planned --users 40 --requests 60 --once 4 --seed 4
sleep 1
stop b1
start_dispatcher b1 dc1
stop w1-agent
start_passthrough w1 dc1 web
start_passthrough w5 dc1 web
start_server w5 dc1 web
wait_for 10 dispatcher_ready b1 || fail "b1 is not ready after its restart"
stop w2-server
wait "${PID_OF[planned]}" || fail "planned: $(cat "$RUN/planned.out")"
kept planned
[ "$(result planned answered)" = 2400 ] ||
  fail "planned: $(tail -1 "$RUN/planned.out")"

# The store is down, then all agents and a balancer are killed.  The new
# processes must get routes and records from the remaining ones.
store_fault mode=down
callers outage --users 20 --requests 40 --once 4 --seed 5
sleep 0.5
for id in w1 w3 w4 w5; do
  kill_now "$id-agent"
  start_passthrough $id dc1 web
done
kill_now b2
start_dispatcher b2 dc2
wait_for 10 dispatcher_ready b2 || fail "b2 is not ready without the store"
wait "${PID_OF[outage]}" || fail "outage: $(cat "$RUN/outage.out")"
kept outage
[ "$(result outage answered)" -ge 780 ] ||
  fail "outage: $(tail -1 "$RUN/outage.out")"

# The store is up again without its history: new routes must come into force.
store_fault mode=up
store_fault forget=1
put_routes 2 other
sleep 3
: >"$RUN/o1-server.out"
callers moved --users 4 --requests 5 --seed 6
wait "${PID_OF[moved]}" || fail "moved: $(cat "$RUN/moved.out")"
[ "$(result moved answered)" = 20 ] || fail "moved: $(tail -1 "$RUN/moved.out")"
[ -n "$(cat "$RUN"/o?-server.out)" ] || fail "new routes are not in force"
