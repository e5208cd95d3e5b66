#!/bin/sh
# run_case.sh N: runs case N in a temporary folder; exits with 1 if the rule was
# broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x "target/review-2/case_$1" ] && [ -x target/bin/geraniumspoked ] || {
	echo "build first: the build of the deploy file, then review/build-2.sh"
	exit 2
}
folder=$(mktemp -d) || exit 2
CASE_FOLDER=$folder CASE_RECORD=review/$1/record.txt \
	timeout -k 2 115 "target/review-2/case_$1"
code=$?
[ -n "$KEEP_LOGS" ] && cp "$folder"/*.log "$KEEP_LOGS"
rm -rf "$folder"
[ "$code" -le 2 ] || code=2
exit "$code"
