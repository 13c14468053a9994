#!/bin/bash
# process_emulate.sh -- boragelatch-emulate on the load patterns of the tree
#
# Runs must be repeatable.  No policy may break a flow or run a request twice.
# The share of traffic to other data centres must be lower under the default
# policy than under both others.  All faults of an invalid file must be reported
# (golden file; UPDATE=1 rewrites it).

cd "$(dirname "$0")/.." || exit 1
golden=test/golden/emulate.txt
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
fail () { echo "$*" >&2; exit 1; }

for pattern in emulator/patterns/*.json; do
  for run in 1 2; do
    build/boragelatch-emulate --seeds 2 --first-seed 5 --json "$out/$run.json" \
      --plots "$out" "$pattern" >"$out/$run.txt" || fail "$pattern"
  done
  cmp -s "$out/1.txt" "$out/2.txt" || fail "$pattern: two runs differ"
  cmp -s "$out/1.json" "$out/2.json" || fail "$pattern: two runs differ in JSON"
  jq -e 'length == 3 and all(.[]; .broken == 0 and .twice == 0 and .runs == 2)' \
    "$out/1.json" >/dev/null || fail "$pattern: broken flow or request run twice"
  jq -e '.[0].far_share < .[1].far_share and .[0].far_share < .[2].far_share' \
    "$out/1.json" >/dev/null || fail "$pattern: too much traffic to other dcs"
  [ -s "$out/served.dat" ] && [ -s "$out/times.dat" ] && [ -s "$out/plot.gp" ] ||
    fail "$pattern: no plots"
done

session () {
  echo '{"data_centres":[{"balancers":0}],"services":[{"name":"a"}],
    "classes":[{"name":"x","service":"q"}],"steps":[{"what":"dance"}]}' \
    >"$out/bad.json"
  echo '{"data_centres":' >"$out/cut.json"
  for file in bad cut none; do
    echo "\$ boragelatch-emulate $file.json"
    build/boragelatch-emulate "$out/$file.json" 2>&1
    echo "[exit $?]"
  done
  echo "\$ boragelatch-emulate --policies best"
  build/boragelatch-emulate --policies best emulator/patterns/rotsuay-calm.json 2>&1
  echo "[exit $?]"
}

session | sed "s|$out/||" >"$out/session"
[ -n "$UPDATE" ] && cp "$out/session" $golden
diff -u $golden "$out/session"
