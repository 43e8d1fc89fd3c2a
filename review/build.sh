#!/bin/sh
# Builds the stand-ins of all scripts: Python files, which need no more than a syntax check.
cd "$(dirname "$0")" || exit 2
exec python3 -m py_compile standins.py ./*/case.py
