#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start besides the sidecar: the project's
# stand-in of the object API, and the lab in review/6/lab with its targets and clients. It is a
# module of its own without a dependency, so neither lint nor the tests of CI see it.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./cmd/heathershed-platform
cd review/6/lab
GOWORK=off go build -o ../../../target/review-2/ .
