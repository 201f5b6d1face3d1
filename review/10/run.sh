#!/usr/bin/env bash
# Needs the build of the deploy file and review/build-2.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review-2/rig-2 ] || { echo "build first: review/build-2.sh"; exit 2; }
exec ../../target/review-2/rig-2 late-dial .
