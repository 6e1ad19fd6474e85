#!/usr/bin/env bash
# Plays the case with a small deployment on loopback and writes record.txt. Run the
# build of the deploy file and review/build.sh before. TROUBLE=0 leaves the disruption
# out. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x out/review/bed ] && [ -x target/heathershed-sidecar ] || exit 2
exec out/review/bed -case large -sidecar target/heathershed-sidecar -template deploy/node.ini -record "$here/record.txt"
