#!/usr/bin/env bash
# Builds what the cases 11 to 15 start beside the router: run it after the build command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -tags review -o target/review-3/ ./review/lab3
