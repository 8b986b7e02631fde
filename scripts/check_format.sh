#!/usr/bin/env bash
# Checks that every source file matches .clang-format; --fix rewrites the files.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(--dry-run --Werror)
[ "${1:-}" = "--fix" ] && mode=(-i)
git ls-files --cached --others --exclude-standard -- '*.cpp' '*.h' | grep -v '\.capnp\.h$' \
    | xargs -r clang-format "${mode[@]}"
