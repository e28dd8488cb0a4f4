#!/usr/bin/env bash
# Starts the stand-ins and three daemons on loopback, runs the demo against
# them, and ends the processes that it started. The first argument is the
# directory of the programs; the others are options of `samples.demo run`.
# If KEEP_LOGS is set, the logs are copied to that directory.
set -eu
source "$(dirname "$0")/../samples/processes.sh" "$1"

start platform "$bin/tamarackpier-standin" platform --port 8400
"$bin/python" -m samples.demo wait-port 8400
start fabric-1 "$bin/tamarackpier-standin" upstream --port 8411 \
  --platform-url http://127.0.0.1:8400 --domain fabric-1 --zone zone-a
start fabric-2 "$bin/tamarackpier-standin" upstream --port 8412 \
  --platform-url http://127.0.0.1:8400 --domain fabric-2 --zone zone-b \
  --ignore-fencing
"$bin/python" -m samples.demo write-settings "$work"
for index in 1 2 3; do
  start "entry-$index" "$bin/tamarackpierd" --settings "$work/entry-$index.ini"
done
status=0
"$bin/python" -m samples.demo run "$work" "${@:2}" || status=$?
if [ "$status" -ne 0 ] || [ -n "${KEEP_LOGS:-}" ]; then
  grep -h -E 'error|Traceback|Error' "$work"/*.log | tail -n 20 >&2 || true
  if [ -n "${KEEP_LOGS:-}" ]; then mkdir -p "$KEEP_LOGS"; cp "$work"/*.log "$KEEP_LOGS"; fi
fi
exit "$status"
