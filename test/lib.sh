# Functions shared by the scripts in this folder. A script sets `program` (its name in error messages) before it
# sources this file. The file sets `binaries` (the folder of the programs), `work` (a temporary folder that is
# removed on exit) and `processes` (the ids of the background processes).
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
binaries=${BINARIES:-bin}
work=$(mktemp -d)
processes=()

# stop_all ends all background processes. It waits for them so that the shell does not report their end.
stop_all() {
  for p in "${processes[@]}"; do kill -TERM "$p" 2>/dev/null || true; done
  wait 2>/dev/null
  rm -rf "$work"
}
trap stop_all EXIT

fail() {
  echo "$program: $*" >&2
  tail -n 5 "$work"/*.log >&2
  exit 1
}

# start NAME COMMAND... runs the command in the background and writes its output to NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  processes+=($!)
}

# wait_for DESCRIPTION COMMAND... runs the command until it succeeds, for at most 30 seconds.
wait_for() {
  local description=$1
  shift
  for _ in $(seq 300); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  fail "$description did not happen within 30 s"
}
