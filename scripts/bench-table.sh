#!/usr/bin/env bash
# Runs the experiments of docs/MEASUREMENTS.md, one after the other, and prints its table.
set -euo pipefail
binary=$1
seed=${SEED:-1}
seconds=${SECONDS_DISTURBED:-4}
echo "| deployment | scenario | control | limit | goodput | recovery s | last shed: offered good shed failed | attempts mean / max | wasted | repeats | not run but ran | foreign | added p50 / p99 us |"
echo "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
run() {
    "$binary" bench --json --seed "$seed" --seconds "$seconds" --deployment "$1" --scenario "$2" --control "$3" --limit "$4" | python3 -c '
import json, sys
r = json.load(sys.stdin)
p = list(r["priorities"].values())[-1]
print("| {deployment} | {scenario} | {control} | {limit} | {goodput_ratio:.3f} | {recovery_seconds:.1f} |".format(**r),
      p["offered"], p["good"], p["shed"], p["failed"], "|",
      "{attempts_per_root_mean:.3f} / {attempts_per_root_max} | {wasted_work_ratio:.3f} | {non_idempotent_repeats} | {not_run_but_ran} | {short_or_foreign_answers} | {added_latency_p50_us:.0f} / {added_latency_p99_us:.0f} |".format(**r))'
}
for deployment in caltagirone kovacic; do
    run "$deployment" steady full probing
    for control in full none per-hop-retries static-limit; do
        run "$deployment" surge "$control" probing
        run "$deployment" deep-slow-retrying "$control" probing
    done
    run "$deployment" deep-slow full probing
    run "$deployment" cold-start full probing
    run "$deployment" lying-load full probing
done
for limit in gradient aimd pid fixed; do
    run caltagirone surge full "$limit"
    run caltagirone deep-slow full "$limit"
done
