#!/bin/bash
# process_path.sh -- the whole path from callers to backend servers as separate
# processes, at the size of the clinic's deployment: every request gets a
# complete answer

cd "$(dirname "$0")/.." || exit 1
. examples/deploy.sh
begin_test
deploy examples/clinic.conf || exit 1
run_load load --seed 11
wait "${PID_OF[load]}" || { cat "$RUN/load.log" "$RUN/load.out"; exit 1; }
