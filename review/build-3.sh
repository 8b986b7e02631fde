#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. All of them are in review/standins_3.py, which is checked here: it needs
# Python 3.11 or later and nothing beside its standard library.
cd "$(dirname "$0")" || exit 1
python3 -c 'import sys, tomllib; sys.exit(sys.version_info < (3, 11))' || exit 1
for file in standins_3.py 1[1-5]/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file" || exit 1
done
