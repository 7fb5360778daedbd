#!/bin/sh
# The stand-ins of the cases are Python programs without dependencies; this checks that they can be
# read by the interpreter of this machine. Nothing is written.
cd "$(dirname "$0")" || exit 1
exec python3 - world.py */case.py <<'EOF'
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as f:
        compile(f.read(), name, "exec")
EOF
