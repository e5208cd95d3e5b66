#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin, against the libraries that
# the build of the deploy file has left under target/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
includes="-Ireview/standins"
for p in base io net wire keys; do
  includes="$includes -Ipackages/$p/src"
done
for case in review/[0-9]*/case.c; do
  [ -e "$case" ] || continue
  name=case$(basename "$(dirname "$case")")
  # shellcheck disable=SC2086
  gcc -std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE $includes "$case" \
    review/standins/bed*.c target/libio.a target/libbase.a \
    -o "review/bin/$name" -lwebsockets -lhttp_parser -lev -ljansson -lxxhash -lz -lm
  echo "built review/bin/$name"
done
