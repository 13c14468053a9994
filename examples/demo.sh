#!/bin/bash
# demo.sh -- runs the loads of the example deployments and checks that every
# request was answered, refused or reported as broken; needs the programs in
# build/

cd "$(dirname "$0")/.." || exit 1
requests=0 answered=0 refused=0 broken=0 failed=0

# run DEPLOYMENT FILE: runs a deployment and its loads in a subshell, and writes
# the results of the loads to FILE as JSON
run () (
  RUN=$(mktemp -d)
  NET=127.$((1 + RANDOM % 250)).$((1 + RANDOM % 250))
  . examples/deploy.sh
  trap 'stop_all; rm -rf "$RUN"' EXIT
  deploy "examples/$1.conf" >/dev/null || exit 1
  echo "== $1"
  ctl show services
  run_load load --seed 7
  wait "${PID_OF[load]}" || { cat "$RUN/load.log" >&2; status=1; }
  grep -v '^{' "$RUN/load.out"
  grep '^{' "$RUN/load.out" >"$2"
  exit ${status:-0}
)

# sum FILE FIELD: prints the sum of a count over the classes of the results
sum () {
  jq "[.classes[].$2] | add" "$1"
}

# run_datagram FILE: runs the deployment of datagram.sh, in which the backend
# servers terminate the flows, in a subshell, and writes the results to FILE as
# JSON
run_datagram () (
  RUN=$(mktemp -d)
  NET=127.$((1 + RANDOM % 250)).$((1 + RANDOM % 250))
  . examples/deploy.sh
  . examples/datagram.sh
  trap 'stop_all; rm -rf "$RUN"' EXIT
  deploy_datagram || exit 1
  echo "== datagram"
  callers load --users 40 --requests 20 --seed 7
  wait "${PID_OF[load]}" || status=1
  grep "^caller" "$RUN/load.out"
  jq -n --argjson requests "$(result load sent)" \
    --argjson answered "$(result load answered)" \
    --argjson refused "$(result load refused)" \
    --argjson broken "$(($(result load failed) + $(result load cut)))" \
    '{classes: [{$requests, $answered, $refused, $broken}]}' >"$1"
  exit ${status:-0}
)

result=$(mktemp)
for deployment in rotsuay clinic datagram; do
  if [ $deployment = datagram ]; then
    run_datagram "$result" || failed=1
  else
    run $deployment "$result" || failed=1
  fi
  [ -s "$result" ] || { failed=1; continue; }
  requests=$((requests + $(sum "$result" requests)))
  answered=$((answered + $(sum "$result" answered)))
  refused=$((refused + $(sum "$result" refused)))
  broken=$((broken + $(sum "$result" broken)))
  : >"$result"
done
rm -f "$result"
echo "demo: $requests requests, $answered answered, $refused refused, $broken broken"
[ $failed = 0 ] && [ $requests -gt 0 ] &&
  [ $requests = $((answered + refused + broken)) ]
