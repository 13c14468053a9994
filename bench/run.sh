#!/bin/bash
# run.sh -- runs all benchmarks, which print lines of the form `name value unit`
cd "$(dirname "$0")/.." || exit 1
for b in bench/bench_*.c; do
  name=$(basename "$b" .c)
  "build/$name" || echo "FAILED $name"
done
bash bench/platform.sh || echo "FAILED platform"
bash bench/flows.sh || echo "FAILED flows"
