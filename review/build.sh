#!/usr/bin/env bash
# The stand-ins (review/standin/) are Python programs that need only the standard library, so there is nothing to compile but their syntax.
set -eu
cd "$(dirname "$0")"
command -v python3 > /dev/null || { echo "python3 (Tools/packages.txt) is missing"; exit 1; }
python3 - standin/*.py */case.py <<'CHECK'
import sys
for path in sys.argv[1:]:
    compile(open(path).read(), path, "exec")
CHECK
echo "stand-ins: ok"
