#!/bin/bash
# process_golden.sh -- a session of an operator, against a golden file
#
# Output that differs from run to run is replaced: ids of changes, the network
# of the run, ports, incarnations.  UPDATE=1 rewrites the golden file.

cd "$(dirname "$0")/.." || exit 1
. examples/deploy.sh
begin_test
golden=test/golden/operator.txt
deploy examples/clinic.conf >/dev/null 2>&1 || fail deploy

# run_ctl ARGS...: prints the command, its output on both streams and its status
run_ctl () {
  echo "\$ boragelatchctl $*"
  ctl --by maria "$@" 2>&1
  echo "[exit $?]"
}

session () {
  run_ctl show services
  run_ctl show backends
  run_ctl show balancers
  run_ctl --backend intake-desk-1 weigh intake-desk 50
  run_ctl --dry-run --dc tll2 rank intake-desk 1
  run_ctl --dc tll9 --backend intake-desk-1 drain intake-desk
  run_ctl --backend intake-desk-1 weigh intake-desk heavy
  run_ctl --backend intake-desk-1 weigh no-such-service 50
  run_ctl create intake-desk --address 10.9.9.9 --listen 80:usual
  run_ctl create other --address 10.81.0.1 --listen 80:usual
  run_ctl create other --address 10.9 --listen 80:usual:9 --listen 80:usual
  run_ctl --wait drain intake-desk --backend intake-desk-2
  run_ctl show services
  run_ctl undrain intake-desk --backend intake-desk-2
  run_ctl remove guidance-shelf
  run_ctl show services
  run_ctl --json show changes
  run_ctl --dc tll1 turn intake-desk
  run_ctl weigh intake-desk
  run_ctl help drain
  run_ctl help sing
  run_ctl words
}

session | sed -E -e "s/$NET\./NET./g" -e 's/[0-9a-f]{16}/CHANGE/g' \
  -e 's/part-CHANGECHANGE/part-HASH/g' -e '/^in force: /d' >"$RUN/session"
# Instances are listed in the order of their start, which varies.
awk '/^(backend|balancer) +dc/ { head = 1; print; next }
  head && /^\[exit/ { close(sorter); head = 0 }
  head { print | (sorter = "sort"); next }
  { print }' "$RUN/session" >"$RUN/sorted"
[ -n "$UPDATE" ] && cp "$RUN/sorted" $golden
diff -u $golden "$RUN/sorted"
