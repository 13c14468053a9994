#!/bin/bash
# Builds the stand-ins that the scripts of cases 4 to 8 start, into
# target/review; to be run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
make B=target target/standin-store
for name in backend-2 users-2 now-2; do
  gcc -std=gnu11 -Wall -Wextra -O2 -g -D_GNU_SOURCE -I. review/$name.c \
    standin/segment.c -o target/review/$name -lpthread
done
