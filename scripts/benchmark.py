#!/usr/bin/env python3
"""Compares statements through daemons with statements sent straight to an endpoint stand-in.

A benchmark, not a test: it prints figures and has no pass or fail. All processes run on this machine, so
absolute figures depend on it and on what else it runs; the ratios come from one run in alternating order.
"""

import argparse
import collections
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import cluster as clusters  # noqa: E402

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TICKS = os.sysconf("SC_CLK_TCK")
READ = {"op": "get", "key": "bench"}
WRITE = {"op": "put", "key": "bench", "value": "0123456789"}
SERVICE = "orders"


def read_cpu(pid):
    """CPU seconds of a process, and of each of its threads by name."""
    threads = collections.Counter()
    for task in os.listdir(f"/proc/{pid}/task"):
        with open(f"/proc/{pid}/task/{task}/stat") as file:
            text = file.read()
        name = text[text.index("(") + 1: text.rindex(")")]
        fields = text[text.rindex(")") + 2:].split()
        threads["control" if int(task) == pid else name] += (int(fields[11]) + int(fields[12])) / TICKS
    return sum(threads.values()), threads


def read_memory_kb(pid, field="VmRSS"):
    with open(f"/proc/{pid}/status") as file:
        for line in file:
            if line.startswith(field + ":"):
                return int(line.split()[1])
    return 0


def spread(values, digits=2):
    return (f"{statistics.median(values):.{digits}f} "
            f"({min(values):.{digits}f} to {max(values):.{digits}f}, n={len(values)})")


def deployment(counts, flags=("--statement-cost-ms=0", "--connect-cost-ms=0", "--max-connections=200")):
    """One service with three endpoints in three zones; `counts` daemons in each zone."""
    names = ("zone-a", "zone-b", "zone-c")
    regions = ("north", "north", "south")
    zones = [{"name": name, "region": region, "daemons": count}
             for name, region, count in zip(names, regions, counts)]
    return {"zones": zones, "services": [{"name": SERVICE, "slots": 64,
                                          "flags": list(flags)}]}


class Load:
    """One run of http_load."""

    def __init__(self, bin_directory, address, path, body, connections, duration_ms):
        self.process = subprocess.Popen(
            [os.path.join(bin_directory, "http_load"), f"--target={address}", f"--path={path}",
             f"--body={json.dumps(body)}", f"--connections={connections}", f"--duration-ms={duration_ms}"],
            stdout=subprocess.PIPE, text=True)

    def result(self):
        return json.loads(self.process.communicate()[0])


class Benchmark:
    def __init__(self, arguments):
        self.bin = arguments.bin
        self.repeats = arguments.repeats
        self.duration = arguments.duration_ms
        self.logs = tempfile.mkdtemp(prefix="pistachiowood-benchmark-")

    def start(self, counts):
        return clusters.Cluster(deployment(counts), self.bin, os.path.join(self.logs, "x".join(map(str, counts))))

    def endpoint_request(self, deployed, name, kind, statement):
        term = deployed.endpoint_status(name)["term"]
        return deployed.endpoints[name]["address"], "/v1/statements", {
            "term": term, "kind": kind, "statement": statement}

    def daemon_request(self, deployed, name, kind, statement):
        return deployed.daemons[name]["caller"], f"/v1/services/{SERVICE}/statements", {
            "kind": kind, "statement": statement}

    def run(self, request, connections):
        return Load(self.bin, *request, connections, self.duration).result()

    def compare(self, title, requests, connections, pids=None):
        """Runs the variants in turn, so that a change of the machine's load affects all of them."""
        samples = {name: [] for name in requests}
        cpu = {name: [] for name in requests}
        for _ in range(self.repeats):
            for name, request in requests.items():
                before = {key: read_cpu(pid)[0] for key, pid in (pids or {}).items()}
                result = self.run(request, connections)
                used = sum(read_cpu(pid)[0] - before[key] for key, pid in (pids or {}).items())
                samples[name].append(result)
                if pids and result["requests"]:
                    # The warm-up of 300 ms uses CPU as well and is counted at the same rate.
                    total = result["requests"] * (1 + 300 / self.duration)
                    cpu[name].append(1e6 * used / total)
        print(f"\n{title}, {connections} connection(s)")
        base = next(iter(requests))
        for name in requests:
            line = [f"  {name:34}"]
            for field, unit in (("p50_ms", "ms"), ("p99_ms", "ms"), ("per_second", "/s")):
                values = [sample[field] for sample in samples[name]]
                reference = statistics.median(sample[field] for sample in samples[base])
                ratio = statistics.median(values) / reference if reference else 0
                line.append(f"{field} {spread(values)} x{ratio:.2f}")
            if cpu[name] and name != base:
                line.append(f"daemon CPU {spread(cpu[name], 0)} us/statement")
            failures = sum(sample["failures"] for sample in samples[name])
            if failures:
                line.append(f"failures {failures}")
            print(" | ".join(line), flush=True)
        return samples

    def paths(self):
        with self.start((2, 1, 1)) as deployed:
            deployed.wait_ready()
            _, primary = deployed.find_primary(SERVICE)
            # The daemon that owns the primary's endpoint needs no forwarding; it is found by its counters.
            in_zone = [name for name, daemon in deployed.daemons.items()
                       if daemon["zone"] == deployed.endpoints[primary]["zone"]]
            outside = [name for name in deployed.daemons if name not in in_zone]
            owner = self.find_owner(deployed, in_zone)
            other = outside[0]
            pids = {name: deployed.processes[name].handle.pid for name in deployed.daemons}
            daemon_own = self.daemon_request(deployed, owner, "write", WRITE)
            daemon_other = self.daemon_request(deployed, other, "write", WRITE)
            local = next(name for name, endpoint in deployed.endpoints.items()
                         if endpoint["zone"] == deployed.daemons[owner]["zone"])
            read_endpoint = self.endpoint_request(deployed, local, "read", READ)
            client = (deployed.daemons[owner]["caller"], "/not-found", {})
            for connections in (1, 16):
                self.compare("Write: endpoint (acknowledges alone), owning daemon, forwarding daemon", {
                    "endpoint": self.endpoint_request(deployed, primary, "write", WRITE),
                    "daemon that owns the endpoint": daemon_own,
                    "daemon that forwards": daemon_other}, connections, pids)
                self.compare("Read with an accepted age", {
                    "endpoint": read_endpoint,
                    **{f"daemon {name}": self.daemon_request(deployed, name, "read", READ)
                       for name in (owner, other)}}, connections, pids)
            self.client_limit(client)
        self.majority_cost()

    def find_owner(self, deployed, candidates):
        """The daemon whose connections to endpoints carry a write that it received itself."""
        best = None
        for name in candidates:
            before = self.counters(deployed, name)["traffic_rpc"]["sent"]
            for _ in range(20):
                deployed.statement(name, SERVICE, {"kind": "write", "statement": WRITE})
            forwarded = self.counters(deployed, name)["traffic_rpc"]["sent"] - before
            if best is None or forwarded < best[0]:
                best = (forwarded, name)
        return best[1]

    @staticmethod
    def counters(deployed, name):
        return clusters.call(deployed.daemons[name]["admin"], "GET", "/counters")[1]

    def client_limit(self, request):
        """Highest rate of the client against a daemon that answers without work."""
        address, _, _ = request
        rates = []
        for _ in range(self.repeats):
            process = subprocess.Popen(
                [os.path.join(self.bin, "http_load"), f"--target={address}", "--method=GET", "--path=/healthz",
                 "--connections=16", f"--duration-ms={self.duration}"], stdout=subprocess.PIPE, text=True)
            rates.append(json.loads(process.communicate()[0])["per_second"])
        print(f"\nLimit of client and HTTP server (GET /healthz, 16 connections): {spread(rates, 0)} /s")

    def majority_cost(self):
        """The same write through one daemon to a group of one, which needs no other member, and of three."""
        alone = clusters.Cluster({"zones": deployment((1, 0, 0))["zones"][:1],
                                  "services": deployment((1, 0, 0))["services"]}, self.bin,
                                 os.path.join(self.logs, "alone"))
        with alone, self.start((1, 0, 0)) as group:
            requests = {}
            for name, deployed in (("daemon, group of one", alone), ("daemon, group of three", group)):
                deployed.wait_ready()
                requests[name] = self.daemon_request(deployed, next(iter(deployed.daemons)), "write", WRITE)
            for connections in (1, 16):
                self.compare("Write with and without waiting for a majority", requests, connections)

    def idle_memory(self):
        print("\nMemory of a daemon with idle caller connections (each has sent one request)")
        points = []
        for _ in range(self.repeats):
            # A new daemon each time: the allocator keeps freed memory, which would hide the growth.
            with self.start((1, 0, 0)) as deployed:
                deployed.wait_ready()
                daemon = next(iter(deployed.daemons))
                pid = deployed.processes[daemon].handle.pid
                for count in (1000, 2000, 4000):
                    before = read_memory_kb(pid)
                    process = subprocess.Popen(
                        [os.path.join(self.bin, "http_load"), f"--target={deployed.daemons[daemon]['caller']}",
                         f"--connections={count}", "--idle"], stdout=subprocess.PIPE, text=True)
                    answer = process.stdout.readline().strip()
                    after = read_memory_kb(pid)
                    process.kill()
                    process.wait()
                    process.stdout.close()
                    time.sleep(0.3)
                    points.append((count, after))
                    print(f"  {count} connections ({answer}): VmRSS {before} kB before, {after} kB with them", flush=True)
        slope, intercept = fit(points)
        print(f"  fit: {slope * 1024:.0f} bytes per connection, {intercept:.0f} kB without")

    def scaling(self):
        print("\nGrowth with the number of daemons: writes and reads 1:1, 8 connections per daemon and kind")
        for counts in ((1, 0, 0), (1, 1, 0), (2, 1, 1), (2, 2, 2)):
            with self.start(counts) as deployed:
                deployed.wait_ready()
                pids = [deployed.processes[name].handle.pid for name in deployed.daemons]
                rows = collections.defaultdict(list)
                for _ in range(self.repeats):
                    before = sum(read_cpu(pid)[0] for pid in pids)
                    loads = [(kind, Load(self.bin, *self.daemon_request(deployed, name, kind, statement), 8,
                                         self.duration))
                             for name in deployed.daemons
                             for kind, statement in (("write", WRITE), ("read", READ))]
                    results = [(kind, load.result()) for kind, load in loads]
                    used = sum(read_cpu(pid)[0] for pid in pids) - before
                    total = sum(result["requests"] for _, result in results)
                    rows["per_second"].append(sum(result["per_second"] for _, result in results))
                    rows["CPU us/statement"].append(1e6 * used / (total * (1 + 300 / self.duration)))
                    for kind in ("read", "write"):
                        for field in ("p50_ms", "p99_ms"):
                            rows[f"{kind} {field}"].append(statistics.median(
                                result[field] for other, result in results if other == kind))
                print(f"  {len(pids)} daemons: " + " | ".join(
                    f"{name} {spread(values)}" for name, values in rows.items()), flush=True)


def fit(points):
    """Least squares line through (x, y); returns slope and intercept."""
    if len({x for x, _ in points}) < 2:
        return 0.0, points[0][1] if points else 0.0
    fitted = statistics.linear_regression([x for x, _ in points], [y for _, y in points])
    return fitted.slope, fitted.intercept


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", default=os.path.join(ROOT, "build/release/bin"))
    parser.add_argument("--repeats", type=int, default=3)
    parser.add_argument("--duration-ms", type=int, default=1500)
    parser.add_argument("--only", choices=("paths", "memory", "scaling"))
    arguments = parser.parse_args()
    print(f"load average at start {os.getloadavg()}, {os.cpu_count()} cores")
    benchmark = Benchmark(arguments)
    for name, part in (("paths", benchmark.paths), ("memory", benchmark.idle_memory), ("scaling", benchmark.scaling)):
        if arguments.only in (None, name):
            part()
    print(f"load average at end {os.getloadavg()}")


if __name__ == "__main__":
    main()
