#!/bin/bash
# process_soak.sh -- a short run of the fault soak; more by hand

exec "$(dirname "$0")/../soak/soak.sh" 3 6
