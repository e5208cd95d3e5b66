#!/bin/sh
# Runs the linter over the sources of the named packages, one process for each
# file and as many at once as there are cores. One process for several files is
# not used: clang-tidy 14 then reports every va_list as uninitialised. Prints
# the findings and exits with 1 if there is one.
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
for package in "$@"; do
	folder=packages/$package/src
	[ "$package" = platform ] && folder=platform
	for file in "$folder"/*.c; do
		[ -f "$file" ] && printf '%s %s\n' "$package" "$file"
	done
done | xargs -P "$(nproc)" -L 1 sh -c '
	report="$1/$(echo "$3" | tr / -)"
	make -s lint-file PACKAGE="$2" FILE="$3" >"$report" 2>/dev/null ||
		touch "$report.failed"' lint "$out"
if ls "$out"/*.failed >/dev/null 2>&1; then
	for f in "$out"/*.failed; do
		cat "${f%.failed}"
	done
	exit 1
fi
