#!/bin/sh
# Builds the stand-ins of the review cases 11 and up into target/review-3, from
# the libraries that the build of the deploy file has made.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
includes=$(for d in platform platform/tests packages/*/src packages/*/src/gen review/standins-3; do
	[ -d "$d" ] && printf ' -I%s' "$d"; done)
libs=$(for l in platform router flow keys net io config wire base; do
	printf ' target/lib%s.a' "$l"; done)
for case in review/1[1-5]/scene.c; do
	[ -f "$case" ] || continue
	number=$(basename "$(dirname "$case")")
	# shellcheck disable=SC2086
	gcc -std=gnu11 -O2 -g -D_GNU_SOURCE -I/usr/include/tirpc $includes \
		"$case" review/standins-3/casebed.c platform/tests/testbed.c \
		platform/tests/testbed_store.c platform/tests/testbed_upstream.c \
		-Wl,--start-group $libs target/libstate.a -Wl,--end-group \
		-lwebsockets -lhttp_parser -lev -ltirpc -lcyaml -lyaml \
		-ljansson -lxxhash -lz -lm -o "target/review-3/case$number"
done
