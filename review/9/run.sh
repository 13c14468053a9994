#!/bin/bash
# Servers are replaced, open connections to the store go silent, and a route
# changes when all is in touch again.  TROUBLE=0: the connections work.
# REPLACED=0: no server was replaced before.
cd "$(dirname "$0")/../.." || exit 2
HERE=$PWD/review/9
. review/deploy-3.sh
REPLACED=${REPLACED:-20}
STORE_SEEN=$NET.4:8169

start_store
start relay $BIN/review-relay-3 $STORE_SEEN "$STORE"
put_routes 1 desk || unable "routes"
for i in 1 2 3; do start_balancer b$i $((9 + i)) z$i; done
for i in 1 2 3; do
  start_agent a$i $((20 + i)) z$i desk
  start_server s$i $((20 + i)) z$i desk
done
start_agent a4 24 z1 shelf
start_server s4 24 z1 shelf
for b in b1 b2 b3; do wait_for 20 knows $b 4 && wait_for 10 is_ready $b || unable "$b"; done

# Planned work: servers that join, drain and leave, with the nodes beside them.
for ((i = 0; i < REPLACED; i++)); do
  start_agent old-a$i $((40 + i)) z$((1 + i % 3)) desk
  start_server old-s$i $((40 + i)) z$((1 + i % 3)) desk
done
for b in b1 b2 b3; do wait_for 20 knows $b $((4 + REPLACED)) || unable "$b"; done
for ((i = 0; i < REPLACED; i++)); do kill -TERM "${PID_OF[old-s$i]}"; done
for ((i = 0; i < REPLACED; i++)); do wait "${PID_OF[old-s$i]}"; unset "PID_OF[old-s$i]"; done
for ((i = 0; i < REPLACED; i++)); do kill -TERM "${PID_OF[old-a$i]}"; done
for ((i = 0; i < REPLACED; i++)); do wait "${PID_OF[old-a$i]}"; unset "PID_OF[old-a$i]"; done
for b in b1 b2 b3; do wait_for 20 knows $b 4 || unable "$b"; done
sleep 2

start clients $BIN/review-client-3 "$CLIENT:8172" $ROUTE \
  "$NET.10:8172,$NET.11:8172,$NET.12:8172" 0 40 16
begin=$(clock_ms)
sleep 1
put_routes 2 desk || unable "routes"
second=$(clock_ms)
sleep 0.2
[ "$TROUBLE" = 0 ] || kill -USR1 "${PID_OF[relay]}"
silent=$(clock_ms)
# Machines whose connections were reset are in touch again after the
# stabilityWindowMs of 4,000.
sleep 4.3
put_routes 3 shelf || unable "routes"
third=$(clock_ms)
wait "${PID_OF[clients]}" || unable "clients"
unset "PID_OF[clients]"

sort -n -s -k1,1 "$RUN/clients.log" >"$RUN/sorted"
for i in 1 2 3; do sed "s/^/server s$i of desk: /" "$RUN/s$i.log"; done >"$RUN/ran"
sed "s/^/server s4 of shelf: /" "$RUN/s4.log" >>"$RUN/ran"
{
  echo "trouble=$TROUBLE replaced=$REPLACED; milliseconds since the start of the clients:"
  echo "$((second - begin)) version 2 acknowledged"
  echo "$((silent - begin)) open connections to the store go silent"
  echo "$((third - begin)) version 3 acknowledged: the route leads to shelf"
  cat "$RUN/sorted" "$RUN/ran"
} >"$HERE/record.txt"
# Requests sent later than configApplyMs (3,000) after the acknowledgement that a
# server of the old service has run.  100 ms allow for the start of the clients.
late=$(awk -v from=$((third - begin + 3100)) '
  FNR == NR { if (/ of desk: run /) ran[$NF] = 1; next }
  $2 == "sent" && $1 > from && ran[$3]' "$RUN/ran" "$RUN/sorted" | tee "$RUN/late" | wc -l)
answered=$(grep -c " answered " "$RUN/sorted")
[ -z "$KEEP" ] || { mkdir -p "$KEEP" && cp "$RUN"/*.log "$KEEP"; }
echo "answered=$answered late at the old service=$late"
[ "$answered" -gt 300 ] || unable "too few answers"
[ "$late" = 0 ] || { echo "CONFIG is broken, first: $(head -1 "$RUN/late")"; exit 1; }
