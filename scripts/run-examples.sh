#!/usr/bin/env bash
# Checks every example as an operator would: each set of files is valid, broken ones are refused with their position.
set -euo pipefail
binary=$1
cd "$(dirname "$0")/.."
for deployment in caltagirone kovacic; do
    "$binary" check --strict "examples/$deployment"
done
for file in examples/alert-tests/*.jsonc; do
    [ -e "$file" ] || continue
    "$binary" test-alerts "$file"
done
"$binary" explain --id b03c86c4b6355e0e examples/logs/*.log | grep -q 'cause: .*it may have run.*the connection was reset'
broken=$(mktemp -d)
trap 'rm -rf "$broken"' EXIT
sed 's/"queue_ms"/"queue_sm"/' examples/kovacic/policy.jsonc >"$broken/policy.jsonc"
if "$binary" check "$broken/policy.jsonc" 2>"$broken/message"; then
    echo "a broken file was accepted" >&2
    exit 1
fi
grep -q 'policy.jsonc:6:[0-9]*: error: unknown key "queue_sm".*did you mean "queue_ms"' "$broken/message"
echo "examples: all as expected"
