#!/usr/bin/env bash
# Installs what the build needs, builds everything and runs the demo on stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_dependencies.sh
cmake --preset release >/dev/null
cmake --build --preset release
python3 scripts/run_demo.py
