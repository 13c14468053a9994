#!/bin/bash
# process_restore_relay.sh -- the platform's object API is away for a moment and
# comes back from an older copy, with transport ip: accepted versions stay in
# force, and no version is given out twice

cd "$(dirname "$0")/.." || exit 1
. examples/deploy.sh
begin_test
deploy examples/clinic.conf >/dev/null 2>&1 || fail deploy

URL=http://$NET.2:8500/v1/objects/config/root

# root_version: prints the version of the configuration that the platform holds
root_version () { curl -sf "$URL" | jq .version; }

# holds VERSION: succeeds if the platform holds that version
holds () { [ "$(root_version)" = "$1" ]; }

# in_force VERSION: succeeds if every balancer has that version in force
in_force () {
  local id
  for id in "${BALANCER_IDS[@]}"; do
    [ "$(curl -sf "http://${IP_OF[$id]}:$ADMIN/v1/status" | jq .version)" = "$1" ] ||
      return 1
  done
}

# signal_balancers SIGNAL
signal_balancers () {
  local id
  for id in "${BALANCER_IDS[@]}"; do kill "-$1" "${PID_OF[$id]}"; done
}

weight () { ctl --timeout-s 20 --backend "$1" --wait weigh intake-desk "$2"; }

# etag: prints the version of the root object
etag () { curl -sfi "$URL" | tr -d '\r' | sed -n 's/^ETag: "\(.*\)"$/\1/p'; }

# An accepted change that the restore has lost is written again, parts included.
first=$(root_version)
fault copy=1
weight intake-desk-1 50 >"$RUN/lost" 2>&1 || fail "change: $(cat "$RUN/lost")"
second=$(root_version)
[ "$second" -gt "$first" ] || fail "version $second after $first"
fault mode=away
fault restore=1
wait_for 15 holds "$second" || fail "version $second was not written again: $(root_version)"
ctl show services | grep -q "weight 50" || fail "the change is lost"

# A change right after a restore does not give out a version again.
fault copy=1
weight intake-desk-2 60 >"$RUN/third" 2>&1 || fail "change: $(cat "$RUN/third")"
third=$(root_version)
fault restore=1
weight intake-desk-3 70 >"$RUN/fourth" 2>&1 || fail "change: $(cat "$RUN/fourth")"
[ "$(root_version)" -gt "$third" ] || fail "version $(root_version) after $third"
for w in 50 60 70; do
  ctl show services | grep -q "weight $w" || fail "weight $w is lost"
done

# A version must come into force although its object has the version that the
# relays have seen before the restore, as that of another change.
fault copy=1
seen=$(root_version)
curl -sf "$URL" | jq -c ".version = $((seen + 1))" >"$RUN/next"
curl -sf "$URL" | jq -c ".version = $((seen + 2))" >"$RUN/after"
curl -sf -X PUT --data-binary "@$RUN/next" "$URL" || fail "PUT"
wait_for 15 in_force $((seen + 1)) || fail "version $((seen + 1)) is not in force"
before=$(etag)
signal_balancers STOP
fault restore=1
curl -sf -X PUT --data-binary "@$RUN/after" "$URL" || fail "PUT"
[ "$(etag)" = "$before" ] || fail "object version $(etag), not $before"
signal_balancers CONT
wait_for 15 in_force $((seen + 2)) || fail "version $((seen + 2)) is not in force after a restore"

# A change during an outage that ends with a restore.
fault copy=1
fault mode=away
start change "$BIN/boragelatchctl" --platform "http://$NET.2:8500" \
  --admin "${IP_OF[${BALANCER_IDS[0]}]}:$ADMIN" --timeout-s 20 \
  --backend intake-desk-4 --wait weigh intake-desk 80
sleep 0.5
fault restore=1
wait "${PID_OF[change]}" || fail "change: $(cat "$RUN/change.log")"
ctl show services | grep -q "weight 80" || fail "weight 80 is lost"
