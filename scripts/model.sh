#!/usr/bin/env bash
# Checks the Spin models and, for each safeguard that a model can leave out, that the check then
# fails. Prints one line per run with the number of stored states.
set -u
top=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
passed=0
failed=0

# run MODEL MACRO EXPECTED: EXPECTED is "holds" or "fails".
run() {
	local dir="$work/$1$2" out states got
	mkdir -p "$dir"
	cp "$top/model/$1.pml" "$dir/"
	out=$(cd "$dir" && spin -a ${2:+-D$2} "$1.pml" >spin.log 2>&1 &&
		gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=4000 -o pan pan.c >>spin.log 2>&1 &&
		timeout 900 ./pan -m3000000 2>&1)
	states=$(echo "$out" | sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p')
	got=unknown
	if echo "$out" | grep -q 'errors: 0' && ! echo "$out" | grep -qE 'not completed|max search depth'; then
		got=holds
	elif echo "$out" | grep -q 'assertion violated'; then
		got=fails
	fi
	if [ "$got" = "$3" ]; then
		passed=$((passed + 1))
	else
		failed=$((failed + 1))
		tail -n 5 "$dir/spin.log"
	fi
	echo "model: $1 ${2:+without }${2:-complete}: $got (expected $3), states ${states:-none}"
}

for model in ownership ledger config eras; do
	run $model "" holds
	for macro in $(sed -n 's/^ \*   \(NO_[A-Z_]*\) .*/\1/p' "$top/model/$model.pml"); do
		run $model "$macro" fails
	done
done
echo "models: $passed passed, $failed failed"
[ "$failed" = 0 ]
