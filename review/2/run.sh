#!/bin/bash
# run.sh -- the store comes back from a copy some seconds old, and the operator
# writes a new configuration
#
# Version 1 has a route at port 443, version 3 one at port 8080 instead.

. "$(dirname "$0")/../deploy.sh"
STORE=build/review-store

drill () { record "store: $1, status=$(http POST $NET.4 $STORE_PORT /drill "$1")"; }
revision () { http GET $NET.4 $STORE_PORT /stats >/dev/null; grep -o '"revision":[0-9]*' "$RUN/http.body"; }

[ -x $STORE ] || cannot_run "$STORE is missing: run review/build.sh"
deploy 15000
sleep 6
[ "$TROUBLE" = 0 ] || drill copy
put_config 2 15000 443 || cannot_run "version 2"
sleep 0.3
# A planned change after the copy: a backend server drains and leaves.
record "SIGTERM to server i-w4, which drains"
kill -TERM "${PID_OF[w4-server]}"
# Longer than the wait of a watch (1950 ms), so that each balancer has the store's
# newest revision.
sleep 2.5
record "store: $(revision)"
# What the operator wrote is written again; then comes its next change.
config_of 2 15000 443
again="{\"meta\":{\"name\":\"main\"},\"spec\":$SPEC}"
config_of 3 15000 8080
next="{\"meta\":{\"name\":\"main\"},\"spec\":$SPEC}"
if [ "$TROUBLE" != 0 ]; then
  drill away
  sleep 2
  record "store: restore"
  http POST $NET.4 $STORE_PORT /drill restore >"$RUN/status"
fi
http PUT $NET.4 $STORE_PORT /v1/objects/config/main "$again" >"$RUN/status"
http PUT $NET.4 $STORE_PORT /v1/objects/config/main "$next" >>"$RUN/status"
record "operator wrote config/main version=2 port=443, then version=3 port=8080, status=$(tr '\n' ' ' <"$RUN/status")"
[ "$(tr -d '\n' <"$RUN/status")" = 200200 ] || cannot_run "a version was not accepted"
record "store: $(revision)"
# configApplyMs and maxStretchMs are 3000 and 12000.
sleep 20
for i in 1 2 3; do
  http GET "${IP_OF[b$i]}" $HTTP /v1/status >/dev/null
  record "balancer b$i reports $(grep -o '"version":[0-9]*' "$RUN/http.body")"
done
clients_at () {
  start_clients "$1" 0 "198.18.0.1:$2"
  wait "${PID_OF[clients]}"
  sed "s/^/clients of port $2: /" "$RUN/clients.out" >>"$RECORD"
  tail -n 1 "$RUN/clients.out"
  rm "$RUN/clients.out"
}
NEW=$(clients_at 20 8080)
OLD=$(clients_at 20 443)
for i in 1 2 3; do sed "s/^/server i-w$i: /" "$RUN/w$i-server.out" >>"$RECORD"; done
echo "route of version 3: $NEW"
echo "route that version 3 drops: $OLD"
case $NEW in
  total*answered=20\ *) ;;
  *) record "verdict: CONFIG broken: requests are refused though the route is there"; exit 1 ;;
esac
case $OLD in
  total*answered=0\ *) ;;
  *) record "verdict: CONFIG broken: requests are run with a dropped route"; exit 1 ;;
esac
record "verdict: CONFIG held"
exit 0
