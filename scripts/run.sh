#!/usr/bin/env bash
# Builds the system, starts a small deployment of it on loopback, drives it for
# about 30 s with a fault in the middle, and stops it again.
#
# Environment, all optional:
#   PROFILE    filao or teranga
#   TRIGGER    see heathershed-load; empty for none
#   DURATION   length of the load
#   SEED       seed of arrivals, work and choices
#   SCALE      factor on all rates
#   ADMISSION  adaptive, none or coin
#   RETRIES    chain or per-hop
#   OUT        name of the result in out/, without its ending
#   BASE_PORT  first port on loopback
#   NO_BUILD   set to use the programs that are built already
set -euo pipefail
cd "$(dirname "$0")/.."

PROFILE="${PROFILE:-filao}"
if [ "$PROFILE" = filao ]; then deep=sightbank; else deep=branch-ledger; fi
TRIGGER="${TRIGGER-slow:$deep:10@8s+8s}"
DURATION="${DURATION:-30s}"
SEED="${SEED:-1}"
SCALE="${SCALE:-1}"
ADMISSION="${ADMISSION:-adaptive}"
RETRIES="${RETRIES:-chain}"
OUT="${OUT:-trial}"
BASE_PORT="${BASE_PORT:-21000}"
platform="127.0.0.1:$BASE_PORT"
stop_tries=100 # of 0.1 s, until what is left is killed

if [ -z "${NO_BUILD:-}" ]; then
  mkdir -p out
  "${GO:-go}" build -o out/ ./cmd/...
fi

dir="out/run-$BASE_PORT"
rm -rf "$dir"
mkdir -p "$dir"
rm -f "out/$OUT.json" "out/$OUT.svg" "out/$OUT-timeline.txt"
pids=()

alive() { kill -0 "$1" 2>/dev/null; }

stop_all() {
  local pid try
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -TERM "$pid" 2>/dev/null || true
  done
  for ((try = 0; try < stop_tries; try++)); do
    local left=0
    for pid in "${pids[@]}"; do
      if alive "$pid"; then left=1; fi
    done
    if [ "$left" = 0 ]; then return; fi
    sleep 0.1
  done
  for pid in "${pids[@]}"; do
    if alive "$pid"; then
      echo "run: process $pid did not stop by itself; killed" >&2
      kill -KILL "$pid" 2>/dev/null || true
    fi
  done
}
trap stop_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

out/heathershed-platform -listen "$platform" >"$dir/platform.log" 2>&1 &
pids+=($!)
echo "platform $!" >"$dir/pids"

names=$(out/heathershed-load layout -profile "$PROFILE" -base-port "$BASE_PORT" -dir "$dir" \
  -admission "$ADMISSION" -retries "$RETRIES")

for ((try = 0; try < 50; try++)); do
  if out/heathershed catalogue apply -platform "$platform" "examples/$PROFILE.ini" >"$dir/apply.log" 2>&1; then break; fi
  sleep 0.1
done
cat "$dir/apply.log"

for name in $names; do
  out/heathershed-node -config "$dir/$name.ini" >"$dir/$name.log" 2>&1 &
  pids+=($!)
  echo "$name $!" >>"$dir/pids"
done

status=0
out/heathershed-load run -profile "$PROFILE" -base-port "$BASE_PORT" -duration "$DURATION" \
  -trigger "$TRIGGER" -seed "$SEED" -scale "$SCALE" -policy "$ADMISSION/$RETRIES" \
  -pids "$dir/pids" -out "out/$OUT.json" -svg "out/$OUT.svg" -timeline "out/$OUT-timeline.txt" &
load=$!
pids+=("$load")
wait "$load" || status=$?
exit "$status"
