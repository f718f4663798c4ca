#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
if [ ! -x target/stepfront ] || [ ! -x review/bin/standins ]; then
  echo "run the build of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
exec review/bin/standins queue-of-draining-leaf "$here/record.txt"
