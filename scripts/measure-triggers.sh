#!/usr/bin/env bash
# Runs the triggers of the fault table, one run each, under the product's
# policy and the two baselines, and prints a Markdown table.
#
# Environment, all optional: PROFILE, SEED, POLICIES and TRIGGERS (lists by
# spaces), and what run.sh takes besides.
set -euo pipefail
cd "$(dirname "$0")/.."

PROFILE="${PROFILE:-filao}"
SEED="${SEED:-1}"
if [ "$PROFILE" = filao ]; then
  deep=sightbank middle=crewmap desk=cutdesk zone=ebene
else
  deep=branch-ledger middle=dispute-desk desk=confirm-desk zone=plateau
fi
when="${WHEN:-@6s+6s}"
# The baselines: no limits with three retries per hop, and fixed limits with a
# coin at each hop.
POLICIES="${POLICIES:-adaptive/chain none/per-hop coin/per-hop}"
TRIGGERS="${TRIGGERS:-slow:$deep:10 surge:6 silent:$deep store kill:$middle-1 stop:$middle-1 pause:$desk-1 \
cut:$zone truncate:$deep:10 idle:$desk:20 lie:$deep:zero refuse:$deep slow:$deep:10+store surge:6+kill:$middle-1 \
slow:$deep:10+surge:3}"

"${GO:-go}" build -o out/ ./cmd/...
results=()
broken=0
for policy in $POLICIES; do
  for trigger in $TRIGGERS; do
    name="measure-$PROFILE-${policy//\//-}-${trigger//[:+]/-}-$SEED"
    both="${trigger//+/$when,}$when"
    if ! NO_BUILD=1 PROFILE="$PROFILE" SEED="$SEED" ADMISSION="${policy%/*}" RETRIES="${policy#*/}" \
      TRIGGER="$both" OUT="$name" scripts/run.sh >"out/$name.log" 2>&1; then
      echo "a promise was broken or the run failed: out/$name.log" >&2
      broken=1
    fi
    if [ -f "out/$name.json" ]; then results+=("out/$name.json"); fi
  done
done
out/heathershed-load table "${results[@]}"
exit "$broken"
