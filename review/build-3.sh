#!/usr/bin/env bash
# Checks that the stand-ins and the scripts of cases 11 to 15 compile. They need nothing
# but Python and `target/deps`, which the build of the deploy file makes.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -S - review/kit3/standins.py review/1[1-5]/case.py <<'PYTHON'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
PYTHON
[ -d target/deps/cicadabank ] || { echo "run the build of the deploy file first"; exit 1; }
