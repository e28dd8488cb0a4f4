# Sourced by scripts that start processes on loopback. `start NAME COMMAND`
# starts a process; all processes are ended when the script exits. The first
# argument of the script is the directory of the programs. Logs and process IDs
# are written to a temporary directory, which is removed on exit.
bin=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()

finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  # A paused process does not handle SIGTERM, and a process that drains ends
  # later than the script waits.
  sleep 0.5
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap finish EXIT

start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
  echo $! >"$work/$name.pid"
}
