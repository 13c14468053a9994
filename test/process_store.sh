#!/bin/bash
# process_store.sh -- the operator's tool on the store of the users' platform

cd "$(dirname "$0")/.." || exit 1
. examples/deploy.sh
. examples/datagram.sh
begin_test
deploy_datagram || fail "deploy"

ctl () { "$BIN/boragelatchctl" --store "$STORE_IP:8600" "$@" 2>&1; }

# want STATUS TEXT ARGS...: runs the tool, which must exit with STATUS and print
# TEXT
want () {
  local status=$1 text=$2 out got
  shift 2
  out=$(ctl "$@")
  got=$?
  [ $got = "$status" ] || fail "$*: status $got, not $status: $out"
  grep -qF -- "$text" <<<"$out" || fail "$*: \"$text\" is missing: $out"
}

# routes VERSION SERVICE PORT: prints a route table with one route
routes () {
  echo "{\"version\":$1,\"routes\":[{\"name\":\"r\",\"host\":\"198.18.0.1\",
    \"pathPrefix\":\"/$3/\",\"type\":\"idempotent\",\"timeoutMs\":5000,
    \"targetLatencyMs\":500,\"priority\":1,\"service\":\"$2\"}],
    \"services\":[{\"name\":\"$2\",\"healthCheckPath\":\"/health\",
    \"maxConnections\":2000}],\"limits\":{\"idleTimeoutMs\":15000}}"
}

# balancer_has ID VERSION: succeeds if a balancer has that version in force
balancer_has () {
  [ "$(curl -sf "http://${IP_OF[$1]}:$HTTP/v1/status" | jq .version)" = "$2" ]
}

want 0 "version 1, 1 routes" show routes
want 0 "198.18.0.1:443" show routes
want 0 "b3" show balancers
want 0 "ready" show balancers
want 0 "w4" show backends
want 0 '"service": "other"' --json show backends
want 1 "is not one of" show flows
routes 9 web 443 >"$RUN/same"
routes 10 other 444 >"$RUN/moved"
echo '{"version":11,"routes":[{"host":"nowhere"}]}' >"$RUN/bad"
want 2 "refused: nothing was changed" routes "$RUN/bad"
want 1 "cannot read" routes "$RUN/none"
want 0 "dry run: nothing was changed" --dry-run routes "$RUN/moved"
want 0 "- 198.18.0.1:443" --dry-run routes "$RUN/moved"
want 0 "+ 198.18.0.1:444" --dry-run routes "$RUN/moved"
want 0 "version 1," show routes
want 0 "in force at every balancer" --wait routes "$RUN/same"
want 2 "must be above 9" routes "$RUN/same"
want 0 "~ 198.18.0.1:443" --dry-run routes <(routes 12 other 443)
store_fault mode=down
want 4 "the store at" show routes
want 4 "the store at" routes "$RUN/moved"
store_fault mode=up
want 0 "accepted as version 10" routes "$RUN/moved"
want 0 "198.18.0.1:444" show routes

# Another writer left objects that cannot be read.  The others are still listed
# and followed, by the tool and by balancers, and an agent of that name writes its
# record over the object.
nested () { printf '[%.0s' {1..40}; printf ']%.0s' {1..40}; }
odd_object () {
  curl -sf -X "$1" --data "{\"meta\":{\"name\":\"$3\"},\"spec\":$(nested)}" \
    "http://$STORE_IP:8600/v1/objects/$2" >/dev/null || fail "no odd object $3"
}
odd_object POST boragelatch-instances odd
odd_object POST config odd
stop w3-agent
odd_object PUT boragelatch-instances/w3 w3
want 0 "w4" show backends
want 0 "odd: left out" show backends
want 0 "w3: left out" show backends
stop b1
start_dispatcher b1 dc1
wait_for 10 dispatcher_ready b1 || fail "b1 is not ready beside an odd object"
routes 11 web 444 >"$RUN/beside"
want 0 "in force at every balancer" --wait routes "$RUN/beside"
curl -sf "http://${IP_OF[b1]}:$HTTP/metrics" | grep -q '^boragelatch_dispatch_unreadable_total [1-9]' ||
  fail "b1 does not count unreadable objects"
odd_object PUT boragelatch-instances/odd odd
start_passthrough w3 dc3 web
wait_for 10 agents_known 6 || fail "the agents are not known beside an odd object"
recorded () { ctl show backends | grep -q '^w3 .*ready'; }
wait_for 10 recorded || fail "w3 did not write its record: $(ctl show backends)"

# The store is restored from a copy that lacks version 20.  Balancers keep it, so
# other routes under that version are refused; version 20 may be repeated.
store_fault copy=1
want 0 "in force at every balancer" --wait routes <(routes 20 web 443)
store_fault restore=1
want 0 "version 11," show routes
want 2 "must be above 20" routes <(routes 20 other 444)
want 2 "must be above 20" routes <(routes 19 other 444)
want 0 "repeats version 20" routes <(routes 20 web 443)
want 0 "version 20," show routes

# A version that is lost while the tool waits for it to be in force is reported.
store_fault copy=1
kill -STOP "${PID_OF[b2]}"
start wait "$BIN/boragelatchctl" --store "$STORE_IP:8600" --wait routes <(routes 21 web 445)
wait_for 10 grep -q "accepted as version 21" "$RUN/wait.out" ||
  fail "version 21 is not accepted: $(cat "$RUN/wait.log")"
wait_for 10 balancer_has b1 21 || fail "version 21 is not in force at b1"
store_fault restore=1
kill -CONT "${PID_OF[b2]}"
wait "${PID_OF[wait]}"
got=$?
[ $got = 3 ] || fail "lost while waiting: status $got: $(cat "$RUN/wait.out" "$RUN/wait.log")"
grep -q "has lost version 21" "$RUN/wait.log" || fail "not reported: $(cat "$RUN/wait.log")"
want 0 "version 20," show routes

want 1 "is not IP:PORT" --store nowhere show routes
want 1 "must be given" --store "" routes "$RUN/moved"
