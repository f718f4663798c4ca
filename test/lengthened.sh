#!/usr/bin/env bash
# Runs a test program as a copy that is EXTRA_BYTES longer. The protobuf library derives the order of fields and of
# white space from a hash of the program's file, so that each length shows another order. For go test -exec:
#
#   EXTRA_BYTES=170 go test -count=1 -exec "$PWD/test/lengthened.sh" ./internal/...
set -euo pipefail
program=$1
shift
copy=$(mktemp)
trap 'rm -f "$copy"' EXIT
cp "$program" "$copy"
head -c "${EXTRA_BYTES:-17}" /dev/zero >>"$copy"
chmod +x "$copy"
"$copy" "$@"
