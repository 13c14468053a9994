#!/bin/bash
# process_restore.sh -- the store is away for a moment and comes back from an
# older copy: what was acknowledged before and afterwards must be in force

cd "$(dirname "$0")/.." || exit 1
. examples/deploy.sh
. examples/datagram.sh
begin_test
deploy_datagram || fail "deploy"

# stat FIELD: prints a number that the store reports
stat () { curl -sf "http://$STORE_IP:8600/stats" | jq ".$1"; }

# version_of ID: prints the version of the routes in force at a balancer
version_of () { curl -sf "http://${IP_OF[$1]}:$HTTP/v1/status" | jq .version; }

# in_force VERSION: succeeds if every balancer has that version in force
in_force () {
  local id
  for id in b1 b2 b3; do [ "$(version_of $id)" = "$1" ] || return 1; done
}

# write_other: makes a change that concerns no balancer, which takes a revision
write_other () {
  curl -sf -X POST --data "{\"meta\":{\"name\":\"o$RANDOM$RANDOM\"},\"spec\":1}" \
    "http://$STORE_IP:8600/v1/objects/other" >/dev/null || fail "write_other"
}

# is_quiet: succeeds if nothing is written to the store for a second
is_quiet () {
  local before
  before=$(stat revision)
  sleep 1
  [ "$(stat revision)" = "$before" ]
}

# stored ID: prints the record of an instance in the store as "STATE INCARNATION"
stored () {
  curl -sf "http://$STORE_IP:8600/v1/objects/boragelatch-instances/$1" |
    jq -r '"\(.spec.state) \(.spec.incarnation)"'
}

# is_stored ID RECORD: succeeds if the store holds that record
is_stored () { [ "$(stored "$1")" = "$2" ]; }

# An acknowledged version must come into force although the watches have seen its
# revision before the restore, as that of another change.
wait_for 20 is_quiet || fail "the store is not quiet"
store_fault copy=1
copied=$(stat revision)
write_other
put_routes 2 web || fail "version 2"
wait_for 10 in_force 2 || fail "version 2 is not in force"
sleep 0.5 # until the watches that returned version 2 were followed by others
seen=$(stat revision)
[ "$seen" = $((copied + 2)) ] || fail "revision $seen, not $((copied + 2))"
store_fault mode=away
put_routes 3 web 8080 # gets no answer, and is repeated
store_fault restore=repeat
[ "$(stat revision)" = "$seen" ] || fail "the revision was not given out again"
[ "$(stat era)" = 2 ] || fail "no new era"
wait_for 15 in_force 3 || fail "version 3 is not in force after a restore"
ROUTE=198.18.0.1:8080
callers moved --users 4 --requests 5 --seed 7
wait "${PID_OF[moved]}" || fail "moved: $(cat "$RUN/moved.out")"
[ "$(result moved answered)" = 20 ] || fail "moved: $(tail -1 "$RUN/moved.out")"

# Records that the copy lacks must be written again by their owners: that of an
# agent that joined after the copy, and that of an agent that restarted.
wait_for 20 is_quiet || fail "the store is not quiet"
store_fault copy=1
old_w1=$(stored w1)
start_passthrough w5 dc1 web
start_server w5 dc1 web
stop w1-agent
start_passthrough w1 dc1 web
wait_for 20 agents_known 7 || fail "w5 is not known"
wait_for 20 is_quiet || fail "the store is not quiet"
new_w1=$(stored w1)
new_w5=$(stored w5)
[ "$new_w1" != "$old_w1" ] || fail "w1 has the record of its first start"
store_fault mode=away
store_fault restore=1
wait_for 15 is_stored w1 "$new_w1" || fail "w1 is stored as $(stored w1), not $new_w1"
wait_for 15 is_stored w5 "$new_w5" || fail "w5 is stored as $(stored w5), not $new_w5"

# A balancer that starts while the store shows older routes must not serve them.
wait_for 20 is_quiet || fail "the store is not quiet"
store_fault copy=1
put_routes 4 web 8080 || fail "version 4"
wait_for 10 in_force 4 || fail "version 4 is not in force"
store_fault mode=away
store_fault restore=1
stop b2
start_dispatcher b2 dc2
tries=1000
until dispatcher_ready b2 >/dev/null; do
  tries=$((tries - 1))
  [ $tries -gt 0 ] || fail "b2 does not become ready"
done
[ "$(version_of b2)" = 4 ] || fail "b2 became ready with version $(version_of b2)"
in_force 4 || fail "a balancer went back to an older version"

# Two restores in a row, then further routes.
store_fault copy=1
put_routes 5 web 8080
store_fault mode=away
store_fault restore=repeat
store_fault mode=away
store_fault restore=repeat
wait_for 15 in_force 5 || fail "version 5 is not in force after two restores"
put_routes 6 web 8080
wait_for 15 in_force 6 || fail "version 6 is not in force after two restores"
callers last --users 4 --requests 5 --seed 8
wait "${PID_OF[last]}" || fail "last: $(cat "$RUN/last.out")"
[ "$(result last answered)" = 20 ] || fail "last: $(tail -1 "$RUN/last.out")"
kept last
