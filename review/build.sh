#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. They need nothing but Go's standard library.
set -euo pipefail
cd "$(dirname "$0")/standins"
GOWORK=off GOFLAGS=-buildvcs=false go build -trimpath -o ../bin/standins .
