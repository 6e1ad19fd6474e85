#!/usr/bin/env bash
# Builds the stand-ins that the script cases start, into out/review/. They need
# nothing but the standard library. The sidecar itself is built by the deploy
# file's line, into target/.
set -euo pipefail
cd "$(dirname "$0")/1/bed"
mkdir -p ../../../out/review
GOWORK=off go build -o ../../../out/review/bed .
