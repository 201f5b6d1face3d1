#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$here/../.." && pwd)
program="$ROOT/target/review/case-$(basename "$here")"
[ -x "$program" ] && [ -x "$ROOT/target/release/stonewharf" ] || {
  echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
CASE_TMP=$(mktemp -d) || exit 2
RECORD="$here/record.txt"
export ROOT CASE_TMP RECORD
timeout -k 2 110 "$program"
status=$?
# Directors that a run which was cut short has left behind.
for pid in $(cat "$CASE_TMP/pids" 2>/dev/null); do
  grep -qs stonewharf "/proc/$pid/cmdline" && kill -KILL "$pid"
done
[ -f "$CASE_TMP/director.log" ] && { echo; echo "log of the director:"; cat "$CASE_TMP/director.log"; } >> "$RECORD"
rm -rf "$CASE_TMP"
case $status in 0|1) exit $status ;; *) exit 2 ;; esac
