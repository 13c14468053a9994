#!/bin/bash
# process_settings.sh -- all invalid settings are reported together; flags take
# precedence over the environment, and the environment over the defaults

cd "$(dirname "$0")/.." || exit 1
. examples/deploy.sh

expect () {
  diff -u <(printf '%s\n' "$1") <(printf '%s\n' "$2") || fail "$3"
}

expect "--role: must be balancer or agent
boragelatchd: 1 settings are wrong" \
  "$("$BIN/boragelatchd" --role=broker 2>&1)" "unknown role"

expect '--id: must be a name of 1 to 47 letters, digits, '"'-', '_' or '.', not \"a b\""'
--ip: must be an IPv4 address, not "10.1"
--data-port: must be a whole number from 0 to 65535, not "70000"
--control-port: must be given
--bulk-port: must be a whole number from 0 to 65535, not "x"
--admin-port: must be given
--seeds: must be a list of addresses of the form IP:PORT, not "nowhere"
--log-level: must be error, warn, info or debug, not "loud"
boragelatchd: 8 settings are wrong' \
  "$("$BIN/boragelatchd" --role=balancer --id='a b' --dc=d --ip=10.1 \
    --data-port=70000 --bulk-port=x --seeds=nowhere --log-level=loud \
    --check-settings 2>&1)" "all findings together"

expect "role=balancer
id=b1 origin=flag
dc=d2 origin=environment
ip=127.0.0.1 origin=flag
data-port=1 origin=flag
control-port=2 origin=flag
bulk-port=3 origin=flag
admin-port=4 origin=flag
seeds= origin=default
log-level=info origin=default
random-seed=0 origin=default
stop-grace-s=0 origin=default
platform= origin=default" \
  "$(BORAGELATCH_DC=d2 BORAGELATCH_ID=other "$BIN/boragelatchd" \
    --role=balancer --id=b1 --ip=127.0.0.1 --data-port=1 --control-port=2 \
    --bulk-port=3 --admin-port=4 --print-settings 2>&1)" "origins"

"$BIN/boragelatchd" --role=balancer --colour=red >/dev/null 2>&1
[ $? = 2 ] || fail "an unknown flag was accepted"
"$BIN/boragelatchd" --role=balancer --id=b1 --dc=d --ip=127.0.0.1 \
  --data-port=1 --control-port=2 --bulk-port=3 --admin-port=4 \
  --check-settings || fail "valid settings were refused"
