#!/usr/bin/env bash
# Fails when a name of the users' platform stands outside platform/, deploy/ and tests: the adapter alone
# knows them. The words are those of the platform's wire, settings and object kinds that are not ours too.
set -euo pipefail
cd "$(dirname "$0")/.."
names='api/objects|api/ready|X-Lease-Holder|X-Fencing-Token|X-Expect-Instance|X-Backend-Id|bounded_staleness|read_your_writes|target_role|db_name|has_more|at_rev|allow_stale|delete_requested|tx_idle_ms|max_conns|internal_ports|machine_class|STEPDOWN|MISROUTED|READONLY|LAGGING|NOSTMT|TOOMANY|DEALLOC|config/main'
if git ls-files --cached --others --exclude-standard -- src include tools CMakeLists.txt \
    | grep -v -E '_test\.cpp$' | xargs grep -n -E "$names"; then
    echo "names of the platform outside platform/" >&2
    exit 1
fi
