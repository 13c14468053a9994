#!/bin/bash
# process_soak.sh -- a short run of soak.sh, with 6 faults from seed 3; longer
# runs are started by hand

exec "$(dirname "$0")/../soak/soak.sh" 3 6
