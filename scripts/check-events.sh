#!/usr/bin/env bash
# Fails when docs/events.md and the event tables in base/events/ differ in number, level or name.
set -eu
code=$(sed -nE 's/^HT_EVENT\(([0-9]+), ([A-Z]+), ([A-Z0-9_]+),.*/\1 \2 \3/p' base/events/*.def | sort)
docs=$(sed -nE 's/^\| ([0-9]+) \| ([A-Z]+) \| `([A-Z0-9_]+)` \|.*/\1 \2 \3/p' docs/events.md | sort)
dup=$(echo "$code" | cut -d' ' -f1 | uniq -d)
if [ -n "$dup" ]; then
	echo "events: number used twice: $dup" >&2
	exit 1
fi
if [ "$code" != "$docs" ]; then
	echo "events: docs/events.md and base/events/*.def differ:" >&2
	diff <(echo "$code") <(echo "$docs") >&2 || true
	exit 1
fi
# The operators' page names events as `NUMBER NAME`.
unknown=$(grep -oE '`[0-9]{4} [A-Z0-9_]+`' docs/OPERATIONS.md | tr -d '`' | sort -u |
	grep -vxFf <(echo "$code" | cut -d' ' -f1,3) || true)
if [ -n "$unknown" ]; then
	echo "events: docs/OPERATIONS.md names unknown events:" "$unknown" >&2
	exit 1
fi
