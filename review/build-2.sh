#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start besides the sidecar: the
# project's stand-in of the object API, and the lab with its targets and clients.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./review/lab ./cmd/heathershed-platform
