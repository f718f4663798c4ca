#!/bin/sh
# Builds the stand-ins of the third review's scripts. The project's program is built as deploy/system.toml says.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -tags review3 -o target/review-3/ ./review/standins-3
