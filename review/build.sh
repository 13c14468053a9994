#!/bin/bash
# build.sh -- builds the stand-ins that the scripts of the review start: two of
# the project's own, client.c and store.c

cd "$(dirname "$0")/.." || exit 1
B=build
make -j8 B=$B $B/standin-store $B/standin-server || exit 1
build () {
  gcc -std=gnu11 -Wall -Wextra -Werror -Wno-format-truncation -O2 -g -I. \
    -D_GNU_SOURCE "$@" || exit 1
}
build review/store.c -o $B/review-store -lcivetweb -lpopt -ljansson -lpthread
build review/client.c $B/standin/segment.o \
  $B/io/{bulk,kv,log,loop,udp}.o $B/libboragelatch.a -o $B/review-client \
  -ljansson -lmsgpackc -lm -lzmq -lcurl -llog4c -lpthread -lpopt
