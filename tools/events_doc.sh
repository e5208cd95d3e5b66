#!/bin/sh
# Writes docs/EVENTS.md from the catalogue of events in the source. With
# --check it writes nothing and exits with 1 if the page is not up to date.
source=packages/base/src/log_events.def
page=docs/EVENTS.md
new=$(mktemp)
trap 'rm -f "$new"' EXIT
{
	echo "# Events"
	echo
	echo "Made from \`$source\` by \`tools/events_doc.sh\`; CI checks that both agree."
	echo "A line of the log holds time, level, number, name, text and key=value pairs."
	echo
	echo "| number | name | level | text | what to do |"
	echo "|---|---|---|---|---|"
	tr '\n' ' ' <"$source" | sed 's/EVENT(/\nEVENT(/g' |
		sed -n 's/^EVENT(\([0-9]*\),[[:space:]]*\([A-Z0-9_]*\),[[:space:]]*\([A-Z]*\),[[:space:]]*"\([^"]*\)",[[:space:]]*"\(.*\)").*$/| \1 | \2 | \3 | \4 | \5 |/p' |
		sed 's/"[[:space:]]*"//g' |
		sort -t'|' -k2 -n
} >"$new"
if [ "$1" = --check ]; then
	cmp -s "$new" "$page" || {
		echo "$page is not up to date: run tools/events_doc.sh"
		exit 1
	}
	exit 0
fi
cp "$new" "$page"
