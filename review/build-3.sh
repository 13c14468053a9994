#!/bin/bash
# Builds the stand-ins that the scripts of the third review start, into target/.
set -e
cd "$(dirname "$0")/.."
make -j4 B=target target/standin-store target/standin-server \
  target/standin/segment.o
gcc -std=gnu11 -Wall -Wextra -Werror -O2 -g -I. -D_GNU_SOURCE review/client-3.c \
  target/standin/segment.o -o target/review-client-3
gcc -std=gnu11 -Wall -Wextra -Werror -O2 -g -D_GNU_SOURCE review/relay-3.c \
  -o target/review-relay-3
