#!/usr/bin/env bash
# Usage: run-tests.sh BUILD_DIR TEST... -- PROPERTY_TEST...
# Runs each program once with a fixed seed and a time limit and prints one closing line. A program
# named in KNOWN-RED.txt ("test: PATH") is run and printed, but does not fail the run.
set -u
build=$1
shift
passed=0
failed=0
known=0
export RC_PARAMS="${RC_PARAMS:-seed=20261204}"
export CK_VERBOSITY=normal
for t in "$@"; do
	[ "$t" = -- ] && continue
	name=${t#"$build"/}
	log="$build/$(echo "$name" | tr / _).log"
	# A guard against a hang only: sanitizer builds take up to 80 s on a busy machine.
	if timeout 300 "$t" >"$log" 2>&1; then
		passed=$((passed + 1))
		echo "ok   $name"
	elif grep -qx "test: $name" KNOWN-RED.txt 2>/dev/null; then
		known=$((known + 1))
		echo "RED  $name (listed in KNOWN-RED.txt)"
		tail -n 5 "$log"
	else
		failed=$((failed + 1))
		echo "FAIL $name"
		tail -n 30 "$log"
	fi
done
echo "known red: $known"
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
