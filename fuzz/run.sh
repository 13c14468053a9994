#!/bin/bash
# run.sh -- fuzzes the decoders that were built into DIR
#
# run.sh DIR RUNS     RUNS inputs for each decoder, always the same ones
# run.sh DIR SECONDSs so many seconds for each, from a random seed
#
# Prints one line for each decoder: inputs, edges covered.  An input that fails is
# left in build/failed.

cd "$(dirname "$0")/.." || exit 1
dir=$1
case $2 in
  *s) options=(-max_total_time="${2%s}") ;;
  # Without these options the inputs depend on addresses and times.
  *) options=(-runs="$2" -seed=1 -use_cmp=0 -entropic=0 -reload=0) ;;
esac
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkdir -p build/failed
failed=0
for fuzzer in fuzz/fuzz_*.c; do
  name=$(basename "$fuzzer" .c)
  mkdir "$work/$name"
  if "$dir/$name" "${options[@]}" -max_len=4096 -timeout=10 -rss_limit_mb=2048 \
    -print_final_stats=1 -artifact_prefix="build/failed/$name-" \
    "$work/$name" "fuzz/corpus/${name#fuzz_}" >"$work/log" 2>&1; then
    echo "ok      $name: $(grep -o 'number_of_executed_units: .*' "$work/log" | grep -o '[0-9]*') inputs, $(grep -o 'cov: [0-9]*' "$work/log" | tail -n 1)"
  else
    tail -n 30 "$work/log"
    echo "FAILED  $name"
    failed=1
  fi
done
exit $failed
