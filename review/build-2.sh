#!/bin/sh
# Builds the programs of the cases 6 to 10 into target/review-2, after the build
# of the deploy file.
set -e
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
incs="-Ireview/standins-2 -Iplatform -Iplatform/tests -I/usr/include/tirpc"
for p in base state route config io net keys flow router; do
	incs="$incs -Ipackages/$p/src"
done
libs="target/libplatform.a target/librouter.a target/libflow.a \
target/libkeys.a target/libio.a target/libroute.a target/libconfig.a \
target/libstate.a target/libbase.a"
for n in 6 7 8 9 10; do
	[ -f "review/$n/play.c" ] || continue
	gcc -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra $incs \
		"review/$n/play.c" review/standins-2/*.c \
		platform/tests/testbed_store.c $libs -o "$out/case_$n" \
		-lwebsockets -lhttp_parser -lev -lyaml -lcyaml -ljansson \
		-lxxhash -lz -lm
done
