#!/usr/bin/env bash
# Needs the build of the deploy file and review/build-2.sh. TROUBLE=0 leaves the disruption out. The project's lab
# starts the directors as processes, and is the stand-in for streamers, bulletin, viewers and platform.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/release/stonewharf ] && [ -x target/review-2/rig-2 ] || { echo "build first"; exit 2; }
scenario=herd.hcl
[ "${TROUBLE:-1}" = 0 ] && scenario=calm.hcl
out=$(mktemp -d) || exit 2
trap 'rm -rf "$out"' EXIT
# Only what streamers and viewers have seen is judged, so the lab's own verdict (1) is not asked.
timeout 110 target/release/stonewharf lab run "review/10/$scenario" --seed "${SEED:-1}" --out "$out" > "$out/lab.txt" 2>&1
code=$?
[ $code = 0 ] || [ $code = 1 ] || { cat "$out/lab.txt"; echo "the lab could not run: $code"; exit 2; }
target/review-2/rig-2 paid-once "$here" "$out/history.json"
code=$?
cat "$out/lab.txt" >> "$here/record.txt"
exit $code
