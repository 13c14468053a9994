#!/bin/bash
# process_explore.sh -- all series of up to two events on one agent, its server
# and the store; deeper ones are played by hand, see make explore

cd "$(dirname "$0")/.." || exit 1
exec build/explore-denials 2
