#!/usr/bin/env bash
# Starts a simulated platform and simulated engines on loopback, runs
# bench.capacity against them and ends the processes that it started. The first
# argument is the folder of programs; the others are passed to bench.capacity.
set -eu
source "$(dirname "$0")/../samples/processes.sh" "$1"

start platform "$bin/tamarackpier-standin" platform --port 8600
"$bin/python" -m samples.demo wait-port 8600
for index in 1 2; do
  start "fabric-$index" "$bin/tamarackpier-standin" upstream \
    --port $((8610 + index)) --platform-url http://127.0.0.1:8600 \
    --domain "fabric-$index" --zone zone-a --engines 128
done
"$bin/python" -m samples.demo wait-port 8611
"$bin/python" -m samples.demo wait-port 8612
"$bin/python" -m bench.capacity "${@:2}"
