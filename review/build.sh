#!/usr/bin/env bash
# Compiles the stand-ins of the cases; run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q kit
