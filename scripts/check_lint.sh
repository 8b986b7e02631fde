#!/usr/bin/env bash
# Runs clang-tidy over every source file of the build; warnings are errors.
# The build passes g++ warning options that clang does not know.
# Usage: check_lint.sh [build-dir] [file...]   (all files by default)
set -euo pipefail
cd "$(dirname "$0")/.."
build="${1:-build/release}"
shift || true
if [ $# -gt 0 ]; then files=("$@"); else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard -- 'src/*.cpp' 'tools/*.cpp' 'platform/*.cpp' | grep -v '_test\.cpp$')
fi
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy -p "$build" --quiet --extra-arg-before=-Wno-unknown-warning-option 2> >(grep -v -E 'warnings? (generated|treated)|Suppressed|Use -header-filter' >&2)
