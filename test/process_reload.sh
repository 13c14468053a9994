#!/bin/bash
# process_reload.sh -- SIGHUP changes the log's level and line limit

cd "$(dirname "$0")/.." || exit 1
. examples/deploy.sh
. examples/datagram.sh
begin_test
for i in 1 2 3; do new_instance b$i; done
SEEDS="${IP_OF[b1]}:1"
export BORAGELATCH_RELOAD_FILE=$RUN/reload
start_store && put_routes 1 web || fail "store"
start_dispatcher b1 dc1
wait_for 10 grep -q routes_in_force "$RUN/b1.out" || fail "no routes"

# reload TEXT LINE: after SIGHUP the log has LINE
reload () {
  echo "$1" >"$BORAGELATCH_RELOAD_FILE"
  kill -HUP "${PID_OF[b1]}"
  wait_for 10 grep -qF -- "$2" "$RUN/b1.out" || fail "\"$2\" is missing"
}

kill -HUP "${PID_OF[b1]}"
wait_for 10 grep -qF "No such file or directory" "$RUN/b1.out" || fail "no file"
reload "log-lines-s=7" "log_level=info log_lines_s=7"
reload "# a comment
log-level=warn
log-lines-s=9" "log_level=warn log_lines_s=9"
reload "log-level=loud" 'reload:1" why="must be error, warn, info or debug, not '"'"'loud'"'"'"' 
reload "log-lines-s=3
data-port=4" 'reload:2" why="must be log-level=LEVEL or log-lines-s=COUNT"'
# At level warn a reload leaves no line; the next one, at level info, does.
echo "log-level=info" >"$BORAGELATCH_RELOAD_FILE"
reloaded_again () {
  kill -HUP "${PID_OF[b1]}"
  [ "$(grep -c event=reloaded "$RUN/b1.out")" -ge 3 ]
}
wait_for 10 reloaded_again || fail "not at level info again"
put_routes 2 web
wait_for 10 grep -q "routes_in_force version=2" "$RUN/b1.out" || fail "no line"
