#!/usr/bin/env bash
# Prepares the scripts of review/6 and later: their stand-ins are Python 3.11 programs without further modules.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "Python 3.11 is needed" >&2; exit 1; }
sources=(common-2/*.py)
for number in 6 7 8 9 10; do
    if [ -e "$number/case.py" ]; then sources+=("$number/case.py"); fi
done
python3 - "${sources[@]}" <<'PY'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
print(len(sys.argv) - 1, "stand-ins and cases compile")
PY
