#!/usr/bin/env bash
# Runs the case of a folder: starts its program, which starts the daemons and
# ends them. Called by the run.sh of each case.
set -u
folder=$(cd "$1" && pwd)
cd "$folder/../.."
program=review/bin/case$(basename "$folder")
if [ ! -x target/bin/geraniumspoked ] || [ ! -x "$program" ]; then
  echo "not run: build the deploy file's target and review/build.sh first" >&2
  exit 2
fi
CASE_FOLDER=$folder timeout --kill-after=2 115 "$program"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
