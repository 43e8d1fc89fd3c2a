#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10: compiles and loads them. They are
# written in Python, need no network and use only what the build of the deploy file installs.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 - <<'PYTHON'
import compileall
import sys

sys.path.insert(0, "review")
if not compileall.compile_dir("review", quiet=1, maxlevels=1):
    sys.exit("a stand-in cannot be compiled")
import standins_2

print("built", standins_2.__name__)
PYTHON
