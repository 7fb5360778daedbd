#!/bin/sh
# Installs the Debian packages that building and testing need, by name, when any is missing.
set -eu
PACKAGES="gcc g++ make pkg-config clang clang-format clang-tidy libclang-rt-14-dev
libev-dev libglib2.0-dev check libxxhash-dev libsodium-dev libprotobuf-c-dev protobuf-c-compiler
spin librapidcheck-dev libcoap3-dev libhttp-parser-dev libjansson-dev libmicrohttpd-dev python3"
missing=""
for p in $PACKAGES; do
	dpkg-query -W -f '${Status}' "$p" 2>/dev/null | grep -q 'ok installed' || missing="$missing $p"
done
[ -z "$missing" ] && exit 0
if [ "$(id -u)" != 0 ]; then
	echo "setup: missing packages (run as root to install):$missing" >&2
	exit 1
fi
apt-get update -q >/dev/null
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends $missing >/dev/null
