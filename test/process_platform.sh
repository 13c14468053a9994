#!/bin/bash
# process_platform.sh -- configuration changes under faults of the platform and
# by concurrent operators

cd "$(dirname "$0")/.." || exit 1
. examples/deploy.sh
begin_test
deploy examples/clinic.conf >/dev/null 2>&1 || fail deploy

# The platform loses the answers of writes that took effect: the change must be
# accepted, once.
fault lose_answers=2
ctl --backend intake-desk-1 --wait weigh intake-desk 50 >"$RUN/lost" 2>&1 ||
  fail "lost answer: $(cat "$RUN/lost")"
[ "$(ctl --json show changes | jq '[.recent[] | select(.what
  == "intake-desk backend intake-desk-1 weight 50")] | length')" = 1 ] ||
  fail "accepted more or less than once"

# Two operators change the same service at once: one change is accepted, the
# other operator gets a conflict.
start one "$BIN/boragelatchctl" --platform "http://$NET.2:8500" --by anna \
  --backend intake-desk-2 weigh intake-desk 60
start two "$BIN/boragelatchctl" --platform "http://$NET.2:8500" --by bert \
  --backend intake-desk-2 weigh intake-desk 70
wait "${PID_OF[one]}"
one=$?
wait "${PID_OF[two]}"
two=$?
case "$one$two" in
  00) ;; # one began after the other had ended
  03) grep -q "by anna" "$RUN/two.log" || fail "conflict without a name" ;;
  30) grep -q "by bert" "$RUN/one.log" || fail "conflict without a name" ;;
  *) fail "race: $one and $two" ;;
esac

# The parts that the root references are deleted by another change before they
# are read: the root is read again, and the change is accepted.
fault hide_parts=2
ctl --backend intake-desk-2 weigh intake-desk 65 >"$RUN/replaced" 2>&1 ||
  fail "parts replaced while reading: $(cat "$RUN/replaced")"

# A part stays missing: nothing is changed, after a bounded number of reads.
fault hide_parts=1000
ctl --backend intake-desk-2 weigh intake-desk 66 >"$RUN/missing" 2>&1
[ $? = 4 ] || fail "a missing part: $(cat "$RUN/missing")"
grep -q 'does not exist' "$RUN/missing" || fail "not named: $(cat "$RUN/missing")"

# Services of which a part cannot be read are not shown without the others.
ctl show services >"$RUN/shown" 2>&1
[ $? = 4 ] || fail "show services without a part: $(cat "$RUN/shown")"
fault hide_parts=0
ctl show services | grep -q intake-desk || fail "show services"

# The platform refuses the root: the change is refused, and nothing is left of it.
fault refuse_root=1
ctl --backend intake-desk-2 weigh intake-desk 66 >"$RUN/refused" 2>&1
[ $? = 2 ] || fail "a refused root: $(cat "$RUN/refused")"

# A change is accepted as a whole or refused with all findings.
cat >"$RUN/bad.json" <<'J'
[{"rule": {"service": "intake-desk", "backend": "intake-desk-3", "weight": 10}},
 {"rule": {"service": "no-such", "backend": "x", "weight": 10}},
 {"rule": {"service": "intake-desk", "dc": "tll1", "weight": 9999}}]
J
ctl apply "$RUN/bad.json" >"$RUN/bad" 2>&1
[ $? = 2 ] || fail "a bad change was not refused"
grep -q 'change\[2\]' "$RUN/bad" || fail "no place: $(cat "$RUN/bad")"
ctl show services | grep -q 'weight 10,' && fail "half a change was accepted"

# Parts that no root refers to are deleted: two services, two parts and the root
# are left.
objects=$(curl -sf "http://$NET.2:8500/stats" | jq .objects)
[ "$objects" = 3 ] || fail "$objects objects are left"

# With the platform down, flows continue, a balancer that starts gets the
# configuration from its peers, and a change fails with exit status 4.
fault mode=down
stop tll1-b1
start_balancer tll1-b1 tll1
wait_for 20 all_balancers_ready || fail "restart with the platform down"
version () {
  curl -sf "http://${IP_OF[$1]}:$ADMIN/v1/status" | jq .version
}
[ "$(version tll1-b1)" = "$(version tll2-b1)" ] || fail "versions differ"
run_load load --seed 41
finish_load load || fail "flows broke with the platform down"
ctl --timeout-s 1 --backend intake-desk-4 weigh intake-desk 5 >/dev/null 2>&1
[ $? = 4 ] || fail "a change with the platform down"

# The platform is up again, but slow: a change must come into force everywhere.
fault 'mode=up&slow_ms=150'
ctl --backend intake-desk-4 --wait weigh intake-desk 80 >/dev/null 2>&1 ||
  fail "not in force with a slow platform"
