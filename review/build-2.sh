#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. The project's program comes from the build line of
# deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -tags review2 -o target/review-2/ ./review/standins-2
