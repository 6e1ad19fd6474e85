#!/usr/bin/env bash
# Builds the stand-ins of the cases into out/review/. Needs Go alone, no network.
set -eu
cd "$(dirname "$0")/1/bed"
mkdir -p ../../../out/review
GOTOOLCHAIN=local GOWORK=off go build -o ../../../out/review/bed .
