#!/bin/sh
# The stand-ins of the cases 6 to 10 are Python programs (standard library only) in review/lab.py and
# the folders of the cases: nothing is compiled. This checks that they can be loaded.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import lab'
for f in [6-9]/case.py 10/case.py; do
	[ ! -e "$f" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$f"
done
