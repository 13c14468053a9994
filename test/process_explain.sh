#!/bin/bash
# process_explain.sh -- boragelatchctl explain on recorded logs, against a
# golden file
#
# test/logs holds log lines of instances about a few flows, recorded in
# simulated days; clock-ahead is server-gone with the agent's clock 5 s ahead.
# UPDATE=1 rewrites the golden file.

cd "$(dirname "$0")/.." || exit 1
golden=test/golden/explain.txt
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT

run_explain () {
  echo "\$ boragelatchctl explain $*"
  build/boragelatchctl explain "$@" 2>&1
  echo "[exit $?]"
}

session () {
  run_explain 100.67.0.31:1051 test/logs/server-gone/*.log
  run_explain 100.67.0.31:1051-198.18.0.2:8443 test/logs/clock-ahead/*.log
  run_explain 100.65.0.9:1032 test/logs/denied/*.log
  run_explain 100.65.0.19:1050 test/logs/all-refused/*.log
  run_explain 100.67.0.31:1051 test/logs/server-gone/frontend-bkk-d-1.log
  run_explain 100.67.0.31:105 test/logs/server-gone/*.log
  run_explain 100.67.0.31:1051-198.18.0.2:80 test/logs/server-gone/*.log
  run_explain 100.67.0.31 test/logs/server-gone/*.log
  run_explain 100.67.0.31:1051 test/logs/none.log
  run_explain 100.67.0.31:1051 README.md
  run_explain 100.67.0.31:1051
}

session >"$out/session"
[ -n "$UPDATE" ] && cp "$out/session" $golden
diff -u $golden "$out/session"
