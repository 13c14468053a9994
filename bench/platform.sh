#!/bin/bash
# platform.sh -- calls to the platform's object API for a change of
# configuration, counted by the stand-in.  The balancers and the command-line
# tool are the real programs.

cd "$(dirname "$0")/.." || exit 1
. examples/deploy.sh
trap 'stop_all; rm -rf "$RUN"' EXIT
CHANGES=20
# At the target size: changes a second, balancers that are relays, and the
# duration of a watch in seconds.
CHANGES_S=0.2083 RELAYS=42 WATCH_S=25

# platform_calls: prints the number of calls so far
platform_calls () { curl -s "http://$NET.2:8500/stats" | jq '.reads + .watches + .writes'; }

SEEDS="$NET.10:$CONTROL,$NET.11:$CONTROL"
start_platform
for i in 1 2 3; do start_balancer b$i dc$i; done
wait_for 20 all_balancers_ready
ctl --address 10.80.0.1 --listen 80:usual --wait create web >/dev/null 2>&1
before=$(platform_calls)
for ((i = 1; i <= CHANGES; i++)); do
  ctl --backend s1 --wait weigh web $i >/dev/null 2>&1
done
change_calls=$(($(platform_calls) - before))
before=$(platform_calls)
for ((i = 1; i <= CHANGES; i++)); do
  ctl --backend s1 --dry-run weigh web $i >/dev/null
done
dry_run_calls=$(($(platform_calls) - before))
# A change reads root and part once, as a dry run also does; reads the services
# for --wait (root and parts); and makes two writes.  All other calls are made by
# the three relays.
jq -n --argjson all $change_calls --argjson dry_run $dry_run_calls --argjson n $CHANGES \
  --argjson rate $CHANGES_S --argjson relays $RELAYS --argjson watch $WATCH_S '
  ($dry_run / $n) as $read | (($all / $n - $read - 2 - 2) / 3) as $relay | "platform_calls_change_operator \($read + 2 + 2) 1",
    "platform_calls_change_relay \($relay) 1",
    "platform_calls_s \(($rate * ($read + 4 + $relays * $relay))
      + $relays / $watch) 1/s",
    "platform_watches_waiting \($relays) 1"' -r
