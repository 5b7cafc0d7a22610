#!/usr/bin/env bash
# Builds the programs of the cases, with the stand-ins in them, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/ ./review/cases/...
