#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python without dependencies, so this
# only checks that the interpreter can read them. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - kit2/*.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py <<'PYTHON'
import sys

assert sys.version_info >= (3, 11), "Python 3.11 is required"
for path in sys.argv[1:]:
    compile(open(path).read(), path, "exec")
print(f"{len(sys.argv) - 1} files can be compiled")
PYTHON
