#!/usr/bin/env bash
# Shows a session with curl: a write, a read with the session token at another daemon, and the outcome of the
# write looked up by its request id. Arguments: caller addresses of two daemons, and a service (default: orders).
set -euo pipefail
if [ $# -lt 2 ]; then
    echo "usage: $0 caller-address other-caller-address [service]" >&2
    exit 2
fi
first="http://$1/v1/services/${3:-orders}"
second="http://$2/v1/services/${3:-orders}"

# Sends a request, prints the answer and fails unless the outcome is committed.
send() {
    answer=$(curl -sS -X POST --max-time 70 -d "$2" "$1")
    echo "$answer"
    [ "$(field outcome)" = committed ]
}

# Prints a field of the last answer.
field() {
    python3 -c 'import json, sys; print(json.loads(sys.argv[1]).get(sys.argv[2], ""))' "$answer" "$1"
}

id="example-$(date +%s)-$$"
echo "write at $1:"
send "$first/statements" '{"kind":"write","request_id":"'"$id"'","idempotent":true,
    "statement":{"op":"put","key":"greeting","value":"hello from '"$id"'"}}'
token=$(field session)

echo "read with the token at $2:"
send "$second/statements" '{"kind":"read","session":"'"$token"'","statement":{"op":"get","key":"greeting"}}'
echo "$answer" | grep -q "$id"

echo "outcome of the request at $2:"
send "$second/requests/$id/resolve" '{}'
