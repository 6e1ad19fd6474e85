#!/usr/bin/env bash
# Runs what docs/MEASUREMENTS.md and docs/CAPACITY.md are made from and prints
# it as text. It takes about 15 minutes on a quiet machine; see
# measure-triggers.sh for how to choose less.
set -euo pipefail
cd "$(dirname "$0")/.."
go="${GO:-go}"

echo "## Added time of two nodes, one call after another"
"$go" test -run xxx -bench AddedTime -benchtime 5s ./internal/node | grep Benchmark
echo "## Added time in the running system, no trigger"
NO_BUILD=1 TRIGGER= DURATION=15s OUT=measure-calm scripts/run.sh | grep -E '^(goodput|added|platform:)'
echo "## Control: fleets of 8, 32 and 128 nodes"
"$go" test -run xxx -bench Fleet -benchtime 1x ./internal/node | grep Benchmark | tr '\t' '\n'
echo "## Control at full size, all links idle"
"$go" test -run IdleLink -v ./internal/node | grep 'control at rest'
echo "## Admission under each trigger, with both baselines"
"$go" test -run 'TestTriggers$' -v ./internal/vm/admission
echo "## Triggers in the running system, with both baselines"
DURATION="${DURATION:-20s}" TRIGGERS="${TRIGGERS:-slow:sightbank:10 surge:6 kill:crewmap-1 store cut:ebene}" \
  scripts/measure-triggers.sh
