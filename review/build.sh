#!/bin/sh
# Builds what the scripts start beside the project's own program: the stand-ins are Python without any package.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 is needed"'
out=$(mktemp -d)
PYTHONPYCACHEPREFIX="$out" python3 -m py_compile common/*.py [0-9]/case.py
rm -r "$out"
