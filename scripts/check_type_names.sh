#!/usr/bin/env bash
# Fails when two headers define a type of the same name. All types share one namespace, so two definitions
# would break the one-definition rule: the linker keeps one destructor or copy for both layouts.
set -euo pipefail
cd "$(dirname "$0")/.."
pattern='^(struct|class|enum class) [A-Z][A-Za-z0-9]*( final)?( :.*)?$'
doubled=$(git ls-files --cached --others --exclude-standard -- 'include/*.h' 'src/*.h' 'platform/*.h' \
    | grep -v '\.capnp\.h$' | xargs grep -hE "$pattern" | sed -E 's/^(struct|class|enum class) ([A-Za-z0-9]+).*/\2/' \
    | sort | uniq -d)
if [ -n "$doubled" ]; then
    echo "types that more than one header defines:" $doubled >&2
    exit 1
fi
