#!/usr/bin/env python3
"""Offers 0.5, 1, 2 and 5 times the writes that an endpoint's slots can serve and prints the useful
throughput and the outcomes. Usage: measure_overload.py [SECONDS]"""

import json
import os
import subprocess
import sys
import tempfile

from cluster import Cluster, load_deployment

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BIN = os.path.join(ROOT, "build", "release", "bin")
STATEMENT_COST_MS = 10
SLOTS = 5
CAPACITY = SLOTS * 1000 // STATEMENT_COST_MS  # writes a second


def measure(cluster, factor, seconds, seed):
    output = subprocess.run(
        cluster.program("loadgen", "--daemons=" + ",".join(cluster.caller_addresses()), "--services=orders",
                        f"--rate={int(CAPACITY * factor)}", f"--duration-s={seconds}", "--sessions=3000",
                        "--read-share=0", "--deadline-ms=1000", "--keys=500", f"--seed={seed}", "--output=json"),
        capture_output=True, text=True, check=True).stdout
    return json.loads(output)["kinds"]["write"]


def main():
    seconds = int(sys.argv[1]) if len(sys.argv) > 1 else 8
    deployment = load_deployment(os.path.join(ROOT, "examples", "demo.json"))
    deployment["services"] = [{"name": "orders", "slots": SLOTS,
                               "flags": [f"--statement-cost-ms={STATEMENT_COST_MS}"]}]
    with tempfile.TemporaryDirectory() as logs, Cluster(deployment, BIN, logs) as cluster:
        cluster.wait_ready()
        peak = 0
        for seed, factor in enumerate((0.5, 1, 2, 5), start=1):
            writes = measure(cluster, factor, seconds, seed)
            peak = max(peak, writes["commits_per_second"])
            print(f"{factor} x {CAPACITY}/s: committed {writes['commits_per_second']:.0f}/s "
                  f"({writes['commits_per_second'] / peak:.2f} of the peak so far), "
                  f"not_run {writes['not_run']}, unknown {writes['unknown']}, "
                  f"p50/p99 {writes['p50_ms']:.0f}/{writes['p99_ms']:.0f} ms", flush=True)


if __name__ == "__main__":
    main()
