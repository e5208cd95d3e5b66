#!/bin/sh
# Installs the compilers, tools and libraries that the build and the tests use
# on a Debian machine.
set -e
packages="gcc make clang-format clang-tidy libclang-rt-14-dev
	libwebsockets-dev libtirpc-dev libcyaml-dev libyaml-dev
	libhttp-parser-dev libev-dev libjansson-dev libxxhash-dev zlib1g-dev uthash-dev libcmocka-dev pkg-config"
missing=
for p in $packages; do
	dpkg -s "$p" >/dev/null 2>&1 || missing="$missing $p"
done
[ -z "$missing" ] && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing
