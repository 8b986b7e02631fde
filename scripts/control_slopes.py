#!/usr/bin/env python3
"""Measures how the control plane's cost grows with daemons, services, changes and probes.

A benchmark, not a test. Every service names endpoints at the addresses of three shared stand-ins, which are
promoted before the daemons start, so that probes are answered and nothing is promoted during the measurement.
CPU has a resolution of 10 ms per thread; the figures are means over all daemons of a deployment.
"""

import argparse
import collections
import datetime
import http.client
import json
import os
import re
import statistics
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import cluster as clusters  # noqa: E402
from benchmark import fit, read_cpu, read_memory_kb, ROOT  # noqa: E402

ZONES = [("a1", "a"), ("b1", "b"), ("c1", "c"), ("a2", "a"), ("b2", "b"), ("c2", "c")]


class Keeper:
    """One kept-alive connection to the platform stand-in."""

    def __init__(self, address):
        host, port = address.rsplit(":", 1)
        self.connection = http.client.HTTPConnection(host, int(port), timeout=10)

    def put(self, kind, name, value, expected=0):
        body = json.dumps({"expected_version": expected, "operation_id": f"bench-{time.time_ns()}", "object": value})
        self.connection.request("PUT", f"/v1/objects/{kind}/{name}", body)
        response = self.connection.getresponse()
        text = json.loads(response.read())
        if response.status != 200:
            raise RuntimeError(text)
        return text["version"]


class Deployment(clusters.Cluster):
    """`daemons` daemons over `zones` zones and `services` services on three shared stand-ins."""

    def __init__(self, arguments, daemons, services, zones=6, flags=()):
        used = ZONES[:min(zones, max(daemons, 1))]
        shape = {"zones": [{"name": zone, "region": region, "daemons": daemons // len(used) + (
            i < daemons % len(used))} for i, (zone, region) in enumerate(used)], "services": []}
        super().__init__(shape, arguments.bin, tempfile.mkdtemp(prefix="pistachiowood-slopes-"), flags)
        self.service_count = services
        self.service_versions = {}

    def _start(self):
        self._choose_addresses()
        port = self.platform.rsplit(":", 1)[1]
        self.launch("platform", self.program(
            "platform_standin", f"--port={port}", "--max-writes-per-second=100000",
            "--max-reads-per-second=100000", "--event-history=20000"))
        clusters.wait_until(lambda: clusters.call(self.platform, "GET", "/v1/objects")[0] == 200, 10, "platform")
        self._start_shared()
        self._store()
        for name in self.daemons:
            self.start_daemon(name)

    def _start_shared(self):
        ports = clusters.reserve_ports(3)
        self.shared = [f"{clusters.HOST}:{port}" for port in ports]
        for i, port in enumerate(ports):
            self.launch(f"endpoint-{i}", self.program(
                "database_standin", f"--port={port}", f"--id=e{i}", "--slots=64", "--connect-cost-ms=0",
                "--statement-cost-ms=0", "--max-connections=4000"))
        for address in self.shared:
            clusters.wait_until(lambda: clusters.call(address, "GET", "/v1/status")[0] == 200, 10, "endpoint")
        for address in self.shared:
            clusters.call(address, "POST", "/v1/raise_term", {"term": 1, "promoter": "bench"})
        clusters.call(self.shared[0], "POST", "/v1/promote", {"term": 1, "promoter": "bench"})
        for address in self.shared[1:]:
            clusters.call(address, "POST", "/v1/follow", {
                "term": 1, "primary_address": self.shared[0], "primary": "e0"})

    def _store(self):
        keeper = Keeper(self.platform)
        keeper.put("Team", "demo", {})
        for i in range(self.service_count):
            name = f"service-{i:04}"
            self.service_versions[name] = keeper.put("DatabaseService", name, {"team": "demo"})
            for j, address in enumerate(self.shared):
                zone, region = ZONES[j]
                keeper.put("Endpoint", f"{name}-{j}", {
                    "service": name, "address": address, "zone": zone, "region": region, "slots": 5,
                    "connections": 30, "labels": {"zone": zone, "region": region}})
            keeper.put("ServiceStatus", name, {
                "term": 1, "primary": f"{name}-0", "history": [{"term": 1, "start": 0}]})

    def pids(self):
        return {name: self.processes[name].handle.pid for name in self.daemons}

    def sample(self):
        cpu = collections.Counter()
        for pid in self.pids().values():
            cpu.update(read_cpu(pid)[1])
        traffic = collections.Counter()
        for name, daemon in self.daemons.items():
            for connection_class, values in clusters.call(daemon["admin"], "GET", "/counters")[1].items():
                traffic[connection_class, "sent"] += values["sent"]
                traffic[connection_class, "received"] += values["received"]
                traffic[connection_class, "messages"] += values["messages"]
        stats = clusters.call(self.platform, "GET", "/standin/stats")[1]
        return time.monotonic(), cpu, traffic, stats["calls"]

    def measure(self, seconds):
        """Means per daemon and second over the interval."""
        start, cpu, traffic, calls = self.sample()
        time.sleep(seconds)
        end, cpu2, traffic2, calls2 = self.sample()
        count = len(self.daemons)
        scale = 1.0 / (end - start) / count
        row = {}
        for thread in ("control", "control_rpc", "traffic_rpc", "traffic"):
            row[f"cpu_{thread}_%"] = 100 * (cpu2[thread] - cpu[thread]) * scale
        row["control_rpc_B/s"] = scale * (traffic2["control_rpc", "sent"] - traffic["control_rpc", "sent"])
        for name in ("endpoint_control", "platform"):
            row[f"{name}_B/s"] = scale * sum(traffic2[name, way] - traffic[name, way] for way in ("sent", "received"))
        row["probes/s"] = scale * (traffic2["endpoint_control", "messages"] - traffic["endpoint_control", "messages"])
        row["platform_calls/s"] = scale * sum(
            calls2.get(name, 0) - calls.get(name, 0) for name in ("list", "get", "put", "watch", "vms"))
        memory = [read_memory_kb(pid) for pid in self.pids().values()]
        row["rss_MB"] = statistics.mean(memory) / 1024
        row["peak_MB"] = statistics.mean(read_memory_kb(pid, "VmHWM") for pid in self.pids().values()) / 1024
        return row

    def wait_settled(self, timeout=60):
        """Until every daemon has applied the configuration and its routing table is published."""
        body = {"kind": "read", "statement": {"op": "get", "key": "x"}, "deadline_ms": 1000}
        last = f"service-{self.service_count - 1:04}"
        for name in self.daemons:
            clusters.wait_until(lambda: self.statement(name, last, body, 5)[0] == 200, timeout, name)


# Probes are slowed down where something else is measured. The suspicion timeout has to exceed the interval;
# otherwise every healthy primary is suspected between two probes.
SLOW_PROBES = 4000


def probe_flags(interval):
    if interval <= 500:
        return (f"--probe-interval-ms={interval}",)
    return (f"--probe-interval-ms={interval}", "--suspicion-ms=10000", "--contact-limit-ms=10000")


def print_rows(title, key, rows, fits):
    print(f"\n{title}")
    for x, row in rows:
        print(f"  {key}={x}: " + ", ".join(f"{name} {value:.2f}" for name, value in row.items()))
    for name in fits:
        slope, intercept = fit([(x, row[name]) for x, row in rows])
        print(f"  fit {name}: {slope:.5f} per {key} + {intercept:.3f}")
    sys.stdout.flush()


def measure_daemons(arguments):
    rows = []
    for count in arguments.daemons:
        with Deployment(arguments, count, 1) as deployed:
            deployed.wait_settled()
            time.sleep(arguments.settle)
            for _ in range(arguments.repeats):
                rows.append((count, deployed.measure(arguments.seconds)))
    print_rows("Daemons (1 service, 3 endpoints)", "daemons", rows,
               ("cpu_control_%", "cpu_control_rpc_%", "control_rpc_B/s", "platform_B/s", "platform_calls/s", "rss_MB"))


def measure_services(arguments, interval, counts):
    rows = []
    for count in counts:
        with Deployment(arguments, 6, count, flags=probe_flags(interval)) as deployed:
            deployed.wait_settled()
            time.sleep(3)
            for _ in range(arguments.repeats):
                rows.append((count, deployed.measure(arguments.seconds)))
    print_rows(f"Services (6 daemons in 6 zones, all responsible; probe interval {interval} ms)", "services", rows,
               ("cpu_control_%", "endpoint_control_B/s", "probes/s", "rss_MB", "peak_MB"))


LOG_LINE = re.compile(r"^(\S+) .*configuration applied version=\"(\d+)\"")


def applied_times(path):
    """Wall clock at which a daemon had applied each version."""
    times = []
    with open(path) as log:
        for line in log:
            if match := LOG_LINE.match(line):
                at = datetime.datetime.fromisoformat(match[1]).replace(tzinfo=datetime.timezone.utc)
                times.append((int(match[2]), at.timestamp()))
    return times


def measure_changes(arguments, services, rates):
    rows = []
    with Deployment(arguments, 6, services, flags=probe_flags(SLOW_PROBES)) as deployed:
        deployed.wait_settled()
        time.sleep(3)
        keeper = Keeper(deployed.platform)
        for rate in rates:
            accepted = []

            def change(rate=rate, accepted=accepted):
                for i in range(int(rate * arguments.seconds)):
                    name = f"service-{i % services:04}"
                    version = keeper.put("DatabaseService", name, {"team": "demo", "weight": i % 7 + 1},
                                         deployed.service_versions[name])
                    deployed.service_versions[name] = version
                    accepted.append((version, time.time()))
                    time.sleep(1 / rate)

            writer = threading.Thread(target=change)
            writer.start()
            row = deployed.measure(arguments.seconds)
            writer.join()
            time.sleep(1)
            delays = []
            for name in deployed.daemons:
                times = applied_times(os.path.join(deployed.log_directory, name + ".log"))
                for version, at in accepted:
                    first = min((when for applied, when in times if applied >= version), default=None)
                    if first is not None:
                        delays.append(1000 * (first - at))
            if delays:
                row["in_force_p50_ms"] = statistics.median(delays)
                row["in_force_max_ms"] = max(delays)
            rows.append((rate, row))
    print_rows(f"Changes per second (6 daemons, {services} services, probes every 4 s)", "changes/s", rows,
               ("cpu_control_%", "cpu_traffic_%", "platform_B/s", "platform_calls/s"))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", default=os.path.join(ROOT, "build/release/bin"))
    parser.add_argument("--seconds", type=float, default=5)
    parser.add_argument("--settle", type=float, default=30,
                        help="seconds before the first point per number of daemons; joining takes time")
    parser.add_argument("--repeats", type=int, default=1)
    parser.add_argument("--daemons", type=lambda text: [int(x) for x in text.split(",")], default=[2, 6, 12, 24, 48])
    parser.add_argument("--services", type=lambda text: [int(x) for x in text.split(",")],
                        default=[1, 10, 100, 500, 1900])
    parser.add_argument("--probed", type=lambda text: [int(x) for x in text.split(",")], default=[1, 10, 50, 100])
    parser.add_argument("--only", choices=("daemons", "services", "changes", "probes"))
    arguments = parser.parse_args()
    print(f"load average at start {os.getloadavg()}")
    parts = {
        "services": lambda: measure_services(arguments, SLOW_PROBES, arguments.services),
        "probes": lambda: measure_services(arguments, 500, arguments.probed),
        "changes": lambda: [measure_changes(arguments, count, (1, 5, 20)) for count in (100, 1900)],
        "daemons": lambda: measure_daemons(arguments),
    }
    for name, part in parts.items():
        if arguments.only in (None, name):
            part()
    print(f"load average at end {os.getloadavg()}")


if __name__ == "__main__":
    main()
