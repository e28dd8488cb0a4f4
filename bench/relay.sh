#!/usr/bin/env bash
# Starts the stand-ins, a daemon and a bare relay on loopback, measures both
# relays in the same run, and ends the processes that it started. The first
# argument is the folder of programs; the others go to `bench.relay run`.
set -eu
source "$(dirname "$0")/../samples/processes.sh" "$1"

start platform "$bin/tamarackpier-standin" platform --port 8500
"$bin/python" -m samples.demo wait-port 8500
for index in 1 2 3; do
  start "fabric-$index" "$bin/tamarackpier-standin" upstream \
    --port $((8510 + index)) --platform-url http://127.0.0.1:8500 \
    --domain "fabric-$index" --zone zone-a --engines 1 --slots 1024 \
    --load-s 0.1
done
"$bin/python" -m bench.relay settings "$work"
start daemon "$bin/tamarackpierd" --settings "$work/entry.ini"
start bare "$bin/python" -m bench.bare 8540 \
  http://127.0.0.1:8511/engines/fabric-1-e0 \
  http://127.0.0.1:8512/engines/fabric-2-e0 \
  http://127.0.0.1:8513/engines/fabric-3-e0
"$bin/python" -m bench.relay run "$work" "${@:2}"
