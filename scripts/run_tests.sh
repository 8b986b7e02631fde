#!/usr/bin/env bash
# Builds the project and runs every test. Tests listed in KNOWN-RED.txt are run and printed, but do not fail the run.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset release >/dev/null
cmake --build --preset release >/dev/null
known=""
if [ -f KNOWN-RED.txt ]; then
    known=$(sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd'|' -)
fi
if [ -n "$known" ]; then
    ctest --preset release -E "^($known)\$"
    echo "Known failing tests (KNOWN-RED.txt):"
    ctest --preset release -R "^($known)\$" || true
else
    ctest --preset release
fi
