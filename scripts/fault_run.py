#!/usr/bin/env python3
"""Long randomised fault run: load and random faults in rounds, each followed by the history check.

Example: scripts/fault_run.py --deployment examples/kartvelian.json --seed 7 --minutes 10
"""

import argparse
import json
import os
import random
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter

from cluster import Cluster, load_deployment
from faults import FaultInjector
from processes import wait_until

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
MAX_FAILOVER_S = 12
SETTLE_LIMIT_S = 180  # hold-down of 60 s, twice, and the failover after it


class PrimaryMonitor:
    """Polls the endpoints of each service and records changes of primary."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.changes = []  # (service, last poll without the new term, poll with it, term, endpoint)
        self.running = True
        self.threads = [threading.Thread(target=self._watch, args=(service,), daemon=True)
                        for service in cluster.services()]
        for thread in self.threads:
            thread.start()

    def _watch(self, service):
        known, polled = 0, time.monotonic()
        while self.running:
            begin = time.monotonic()
            found = self.cluster.find_primary(service, timeout=0.3)
            if found and found[0] > known:
                if known:
                    self.changes.append((service, polled, time.monotonic(), *found))
                known = found[0]
            polled = begin
            time.sleep(0.1)

    def stop(self):
        self.running = False
        for thread in self.threads:
            thread.join()


class Round:
    """One loadgen process with its own seed, and so its own keys."""

    def __init__(self, cluster, options, seed, seconds):
        self.cluster = cluster
        self.history = os.path.join(cluster.log_directory, f"history-{seed}.jsonl")
        self.final = os.path.join(cluster.log_directory, f"final-{seed}.jsonl")
        self.common = cluster.program(
            "loadgen", "--daemons=" + ",".join(cluster.caller_addresses()),
            "--services=" + ",".join(cluster.services()), f"--seed={seed}", "--keys=100")
        self.process = subprocess.Popen(
            [*self.common, f"--history={self.history}", f"--duration-s={seconds}", "--output=json",
             f"--rate={options.rate}", "--sessions=120", "--roam=0.2", "--read-share=0.6", "--max-age-share=0.4",
             "--max-age-ms=5000", "--non-idempotent-share=0.5", "--transaction-share=0.25", "--deadline-ms=2000"],
            stdout=subprocess.PIPE, text=True)

    def finish(self):
        output, _ = self.process.communicate(timeout=120)
        self.measures = json.loads(output)

    def check(self):
        subprocess.run([*self.common, f"--dump-final={self.final}"], check=True, timeout=300)
        done = subprocess.run(
            self.cluster.program("history_check", f"--history={self.history}", f"--final={self.final}"),
            capture_output=True, text=True, timeout=300)
        print("  " + done.stdout.strip().replace("\n", "\n  "), flush=True)
        return done.returncode == 0

    def commit_times(self):
        """End times in seconds of committed writes by service, ascending."""
        times = {}
        with open(self.history, encoding="utf-8") as file:
            for line in file:
                record = json.loads(line)
                if record["kind"] != "read" and record["outcome"] == "committed":
                    times.setdefault(record["service"], []).append(record["end_us"] / 1e6)
        return {service: sorted(values) for service, values in times.items()}


def settled(cluster, injector):
    """True when each service has one primary that its other living members follow."""
    for service in cluster.services():
        members = [name for name, endpoint in cluster.endpoints.items()
                   if endpoint["service"] == service and name not in injector.killed_endpoints]
        states = [cluster.endpoint_status(name) for name in members]
        if len({state["term"] for state in states}) != 1 or [s["role"] for s in states].count("primary") != 1:
            return False
    return True


def run_round(cluster, injector, options, seed, seconds, is_last):
    load = Round(cluster, options, seed, seconds)
    end = time.monotonic() + seconds
    try:
        time.sleep(3)
        if is_last and options.kill_primary:
            injector.kill_primary(cluster.services()[0])
            time.sleep(15)
        # A cycle takes at most 17 s for the faults and 15 s for the recovery.
        while time.monotonic() < end - 32:
            injector.inject()
            injector.heal()
            time.sleep(injector.random.uniform(5, 15))
        load.finish()
    finally:
        if load.process.poll() is None:
            load.process.kill()
            load.process.wait()
    began = time.monotonic()
    wait_until(lambda: settled(cluster, injector), SETTLE_LIMIT_S, "the services did not settle after all faults ended")
    cluster.wait_ready(60)
    print(f"  settled {time.monotonic() - began:.1f} s after the load", flush=True)
    return load


def failover_gaps(load, monitor, injector):
    """[(gap in s, service, term, time without majority ended?)] for the changes during the load."""
    gaps = []
    for service, times in load.commit_times().items():
        for changed, before, seen, term, _ in monitor.changes:
            if changed != service or not times[0] < seen < times[-1]:
                continue
            spans = [(a, b) for a, b in zip(times, times[1:]) if b > before and a < seen]
            begin, end = max(spans, key=lambda span: span[1] - span[0])
            lost_until = injector.last_without_majority(service, begin, end)
            gaps.append((end - begin if lost_until is None else end - lost_until, service, term, lost_until is not None))
    return gaps


def quantile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def print_gaps(gaps):
    for title, wanted in (("a majority throughout", False), ("a majority lost and regained", True)):
        values = [gap[0] for gap in gaps if gap[3] == wanted]
        if values:
            print(f"failover gaps with {title}: {len(values)}, median {quantile(values, 0.5):.1f} s, "
                  f"p99 {quantile(values, 0.99):.1f} s, max {max(values):.1f} s, "
                  f"above {MAX_FAILOVER_S} s: {sum(value > MAX_FAILOVER_S for value in values)}")


def print_outcomes(loads):
    outcomes, replica_reads, reads = Counter(), 0.0, 0
    for load in loads:
        for kind, figures in load.measures["kinds"].items():
            for outcome in ("committed", "not_run", "unknown"):
                outcomes[kind, outcome] += figures[outcome]
            if kind.endswith("read"):
                replica_reads += load.measures["replica_read_share"] * figures["committed"]
                reads += figures["committed"]
    for kind in sorted({kind for kind, _ in outcomes}):
        counts = {outcome: outcomes[kind, outcome] for outcome in ("committed", "not_run", "unknown")}
        total = max(1, sum(counts.values()))
        print(f"{kind:<12}" + "".join(f" {name} {count} ({100 * count / total:.2f}%)" for name, count in counts.items()))
    writes = sum(count for (kind, _), count in outcomes.items() if not kind.endswith("read"))
    unknown = outcomes["write", "unknown"] + outcomes["transaction", "unknown"]
    print(f"reads served by replicas: {100 * replica_reads / max(1, reads):.1f}%")
    print(f"writes and transactions of unknown outcome: {100 * unknown / max(1, writes):.2f}%")


def run(options, logs):
    deployment = load_deployment(options.deployment)
    print(f"deployment {options.deployment}, seed {options.seed}, {options.minutes} minutes", flush=True)
    passed, loads, gaps = True, [], []
    with Cluster(deployment, options.bin, logs) as cluster:
        cluster.wait_ready(60)
        started = time.monotonic()
        injector = FaultInjector(cluster, random.Random(options.seed), started)
        monitor = PrimaryMonitor(cluster)
        bytes_before = cluster.links.region_bytes()
        rounds = max(1, round(options.minutes / options.round_minutes))
        for number in range(rounds):
            logged = len(injector.log)
            print(f"round {number + 1} of {rounds}", flush=True)
            load = run_round(cluster, injector, options, options.seed * 1000 + number,
                             60 * options.minutes / rounds, number + 1 == rounds)
            for at, fault, detail in injector.log[logged:]:
                print(f"  {at:7.1f} s  {fault} {detail}")
            loads.append(load)
            passed = load.check() and passed
            gaps += failover_gaps(load, monitor, injector)
        print("check of all rounds against the content at the end")
        for load in loads:
            passed = load.check() and passed
        monitor.stop()
        seconds = time.monotonic() - started
        for link, counts in cluster.links.region_bytes().items():
            rates = [8e-6 * (now - then) / seconds for now, then in zip(counts, bytes_before[link])]
            print(f"{link}: {rates[0]:.2f} and {rates[1]:.2f} Mbit/s on average")
    print("faults: " + ", ".join(f"{name} {count}" for name, count in Counter(f for _, f, _ in injector.log).items()))
    print_outcomes(loads)
    print_gaps(gaps)
    for gap, service, term, lost in sorted(gaps, reverse=True)[:5]:
        print(f"  {gap:.1f} s, {service}, term {term}{', majority lost meanwhile' if lost else ''}")
    print("PASSED" if passed else f"FAILED with seed {options.seed}")
    return 0 if passed else 1


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--deployment", required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=10)
    parser.add_argument("--round-minutes", type=float, default=3)
    parser.add_argument("--rate", type=float, default=120)
    parser.add_argument("--kill-primary", action="store_true", help="kill one primary for good in the last round")
    parser.add_argument("--bin", default=os.path.join(ROOT, "build/release/bin"))
    parser.add_argument("--logs", help="keep logs and histories in this folder")
    options = parser.parse_args()
    if options.logs:
        return run(options, options.logs)
    with tempfile.TemporaryDirectory() as logs:
        return run(options, logs)


if __name__ == "__main__":
    sys.exit(main())
