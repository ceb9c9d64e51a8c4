#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They are written for Python's standard library alone (python3 is in Tools/packages.txt): there is
# nothing to build, so this only checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'P'
import ast, glob
for path in ["standin-2/small.py"] + sorted(glob.glob("[0-9]*/case.py")):
    if path.startswith("standin-2") or path.split("/")[0] in ("6", "7", "8", "9", "10"):
        ast.parse(open(path).read(), path)
        print("build-2:", path)
P
