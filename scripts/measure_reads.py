#!/usr/bin/env python3
"""Measures the share of reads served by replicas, latency and bytes between regions for each
--replica-preference, on one deployment with its links. Usage: measure_reads.py DEPLOYMENT [SECONDS]"""

import json
import os
import subprocess
import sys
import tempfile
import time

from cluster import Cluster, load_deployment

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BIN = os.path.join(ROOT, "build", "release", "bin")
RATE = 300  # statements a second over all services
SEED = 11


def measure(deployment, preference, seconds):
    with tempfile.TemporaryDirectory() as logs, \
            Cluster(deployment, BIN, logs, [f"--replica-preference={preference}"]) as cluster:
        cluster.wait_ready()
        time.sleep(2)  # the first probes of every replica
        before = sum(map(sum, cluster.links.region_bytes().values()))
        output = subprocess.run(
            cluster.program("loadgen", "--daemons=" + ",".join(cluster.caller_addresses()),
                            "--services=" + ",".join(cluster.services()), f"--rate={RATE}",
                            f"--duration-s={seconds}", "--sessions=200", "--roam=0.5", "--read-share=0.7",
                            "--max-age-share=0.3", "--max-age-ms=2000", "--keys=50", f"--seed={SEED}",
                            "--output=json"),
            capture_output=True, text=True, check=True).stdout
        between = sum(map(sum, cluster.links.region_bytes().values())) - before
        primaries = sorted(cluster.find_primary(service)[1] for service in cluster.services())
        return json.loads(output), between / (RATE * seconds), primaries


def main():
    deployment = load_deployment(sys.argv[1])
    seconds = int(sys.argv[2]) if len(sys.argv) > 2 else 15
    for preference in ("primary-only", "zone", "region"):
        report, per_statement, primaries = measure(deployment, preference, seconds)
        kinds = report["kinds"]
        print(f"{preference}: replica reads {report['replica_read_share']:.1%}, "
              f"bytes between regions per statement {per_statement:.0f}, "
              + ", ".join(f"{kind} p50/p99 {kinds[kind]['p50_ms']:.1f}/{kinds[kind]['p99_ms']:.1f} ms"
                          for kind in ("token_read", "age_read", "write"))
              + f", primaries {' '.join(primaries)}", flush=True)


if __name__ == "__main__":
    main()
