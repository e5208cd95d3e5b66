#!/bin/bash
# Measures daemons on loopback with the release programs. Usage:
#   tools/measure.sh latency|throughput|memory
#   tools/measure.sh idle DAEMONS
# Environment: BIN (build/rel/bin), PORT (first port, 21000), TRACE (trace
# sample rate, default of the daemon), ROUNDS (3). docs/MEASUREMENTS.md shows
# the results. Ports from PORT to PORT + 4 * DAEMONS + 2 are used.
bin=${BIN:-build/rel/bin}
base=${PORT:-21000}
rounds=${ROUNDS:-3}
dir=$(mktemp -d)
daemons=()
pids=()
trap 'kill "${pids[@]}" 2>/dev/null; wait 2>/dev/null; rm -rf "$dir"' EXIT

http_port() { echo $((base + 3 + $1 * 4)); }
peer_port() { echo $((base + 4 + $1 * 4)); }
admin_port() { echo $((base + 5 + $1 * 4)); }
upstream_port() { echo $((base + 6 + $1 * 4)); }

start_daemon() {
	cat >"$dir/$1.yaml" <<END
instance: $(($1 + 1))
name: node$1
data_centre: dc$(($1 % 3 + 1))
region: kingston
address: 127.0.0.1
http_port: $(http_port "$1")
peer_port: $(peer_port "$1")
admin_port: $(admin_port "$1")
platform: { address: 127.0.0.1, port: $base }
chart_dir: charts
seeds:
  - { address: 127.0.0.1, port: $(peer_port $((($1 + 1) % $2))) }
END
	[ -n "$TRACE" ] && echo "$TRACE" >>"$dir/$1.yaml"
	"$bin/geraniumspoked" --settings "$dir/$1.yaml" >"$dir/$1.log" 2>&1 &
	daemons+=($!)
	pids+=($!)
}

start_upstream() {
	"$bin/standin_upstream" --port "$(upstream_port "$1")" --service "$2" \
		--instance "node$1" --slots 6 --connections 120 \
		--daemon "127.0.0.1:$(admin_port "$1")" --service-ms 0 \
		>"$dir/upstream$1.log" 2>&1 &
	pids+=($!)
}

# start DAEMONS [SERVICE]: without a service 8 of 11 are bookings.
start() {
	"$bin/standin_platform" --port "$base" >"$dir/platform.log" 2>&1 &
	pids+=($!)
	sleep 0.3
	for ((i = 0; i < $1; i++)); do start_daemon $i "$1"; done
	for ((i = 0; i < 50; i++)); do
		"$bin/geraniumspokectl" -d "127.0.0.1:$(admin_port 0)" publish \
			manifests/loopback.yaml >/dev/null 2>&1 && break
		sleep 0.2
	done
	for ((i = 0; i < $1; i++)); do
		service=bookings
		[ $((i % 11)) -ge 8 ] && service=documents
		start_upstream $i "${2:-$service}"
	done
}

# Ticks (10 ms) of processor time of the processes.
ticks() {
	local sum=0 p fields
	for p in "$@"; do
		read -r -a fields <"/proc/$p/stat"
		sum=$((sum + fields[13] + fields[14]))
	done
	echo $sum
}

# load CONNECTIONS SECONDS KEYS PORT...
load() {
	local c=$1 s=$2 k=$3
	shift 3
	"$bin/load" -c "$c" -d "$s" -k "$k" \
		-t 'GET,/bookings/clients/{key}/history,1,idempotent' \
		"${@/#/127.0.0.1:}" | head -3 | tail -2 | tr '\n' ' '
}

# First daemon that holds the key 0.
find_owner() {
	for ((i = 0; i < $1; i++)); do
		"$bin/geraniumspokectl" -j -d "127.0.0.1:$(admin_port $i)" \
			explain bookings 0 | grep -q '"held_here": *true' &&
			echo $i && return
	done
}

latency() {
	start 3 bookings
	sleep 8
	local owner other
	owner=$(find_owner 3)
	other=$(((owner + 1) % 3))
	for ((r = 0; r < rounds; r++)); do
		echo "direct:    $(load 1 2 1 "$(upstream_port "$owner")")"
		echo "local:     $(load 1 2 1 "$(http_port "$owner")")"
		echo "forwarded: $(load 1 2 1 "$(http_port "$other")")"
	done
}

throughput() {
	local p=127.0.0.1 naive before out
	start 3 bookings
	"$bin/naive_router" --port $((base + 1)) --route \
		"/bookings=$p:$(upstream_port 0),$p:$(upstream_port 1),$p:$(upstream_port 2)" \
		>/dev/null &
	naive=$!
	pids+=($naive)
	sleep 8
	for ((r = 0; r < rounds; r++)); do
		before=$(ticks $naive)
		out=$(load 12 3 1000 $((base + 1)))
		echo "naive router: $out cpu ticks $(($(ticks $naive) - before))"
		before=$(ticks "${daemons[0]}")
		out=$(load 12 3 1000 "$(http_port 0)")
		echo "one daemon:   $out cpu ticks $(($(ticks "${daemons[0]}") - before))"
		before=$(ticks "${daemons[@]}")
		out=$(load 12 3 1000 "$(http_port 0)" "$(http_port 1)" "$(http_port 2)")
		echo "three daemons: $out cpu ticks $(($(ticks "${daemons[@]}") - before))"
	done
}

# Peak resident memory in kB of each daemon.
peaks() {
	for p in "$@"; do
		awk '/VmHWM/ {printf "%s kB ", $2}' "/proc/$p/status"
	done
}

# Reads 64 MiB at about 20 MiB/s.
read_slowly() {
	exec 3<>"/dev/tcp/127.0.0.1/$1"
	printf 'GET /documents/members/0/archives/a?bytes=67108864 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n' >&3
	local total=0 n
	while n=$(dd bs=1M count=1 iflag=fullblock <&3 2>/dev/null | wc -c) &&
		[ "$n" -gt 0 ]; do
		total=$((total + n))
		sleep 0.05
	done
	exec 3>&-
	echo $total
}

memory() {
	start 3 documents
	sleep 8
	echo "peak before: $(peaks "${daemons[@]}")"
	for ((i = 0; i < 3; i++)); do
		echo "through daemon $i: $(read_slowly "$(http_port $i)") bytes, peak $(peaks "${daemons[@]}")"
	done
}

idle() {
	local before seconds=10 rss=0 p
	start "$1"
	sleep 20
	before=$(ticks "${daemons[@]}")
	sleep $seconds
	for p in "${daemons[@]}"; do
		rss=$((rss + $(awk '/VmRSS/ {print $2}' "/proc/$p/status")))
	done
	awk -v t=$(($(ticks "${daemons[@]}") - before)) -v n="$1" -v s=$seconds -v r=$rss \
		'BEGIN {printf "%d daemons: %.2f %% of a core each, %.1f MB resident each\n", n, t / s / n, r / n / 1024}'
	"$bin/geraniumspokectl" -d "127.0.0.1:$(admin_port 0)" counters |
		grep -v '^#' | grep -i 'notice\|datagram\|peer_bytes'
}

"$@"
