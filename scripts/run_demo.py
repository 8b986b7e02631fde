#!/usr/bin/env python3
"""Starts examples/demo.json and shows a write, a read through another daemon and a label change."""

import os
import sys
import tempfile
import time

from cluster import Cluster, load_deployment

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BODY = {"deadline_ms": 5000}


def show(step, result):
    print(f"{step:<62} {result}", flush=True)


def require(condition, message):
    if not condition:
        raise RuntimeError(message)


def run(cluster):
    service = cluster.services()[0]
    first, last = list(cluster.daemons)[0], list(cluster.daemons)[-1]
    _, written = cluster.statement(first, service, {
        **BODY, "kind": "write", "request_id": "demo-1",
        "statement": {"op": "put", "key": "order-1", "value": "2 lamps"}})
    require(written.get("outcome") == "committed", f"write: {written}")
    show(f"write order-1 through {first}", written["outcome"])

    _, read = cluster.statement(last, service, {
        **BODY, "kind": "read", "session": written["session"], "statement": {"op": "get", "key": "order-1"}})
    require("2 lamps" in str(read.get("result")), f"read: {read}")
    show(f"read it with the session token through {last}",
         f"{read['result']} from {read['endpoint']} (replica: {read['from_replica']})")

    endpoint = next(iter(cluster.endpoints))
    started = time.monotonic()
    status, change = cluster.admin(first, "POST", f"/v1/labels/Endpoint/{endpoint}", {"set": {"rack": "r7"}})
    require(status == 200, f"label change: {change}")
    show(f"label rack=r7 on {endpoint} through {first}", f"accepted as version {change['version']}")
    cluster.wait_in_force(change["version"])
    for name in cluster.daemons:
        _, seen = cluster.admin(name, "GET", f"/v1/objects/Endpoint/{endpoint}")
        require(seen["object"]["labels"].get("rack") == "r7", f"{name}: {seen}")
        show(f"label as applied by {name}", f"rack={seen['object']['labels']['rack']}")
    show(f"in force on {len(cluster.daemons)} daemons after", f"{(time.monotonic() - started) * 1000:.0f} ms")


def main():
    bin_directory = sys.argv[1] if len(sys.argv) > 1 else os.path.join(ROOT, "build/release/bin")
    deployment = load_deployment(os.path.join(ROOT, "examples/demo.json"))
    with tempfile.TemporaryDirectory() as logs, Cluster(deployment, bin_directory, logs) as cluster:
        started = time.monotonic()
        cluster.wait_ready()
        show(f"{len(cluster.daemons)} daemons, {len(cluster.endpoints)} endpoints and the platform are ready after",
             f"{time.monotonic() - started:.1f} s")
        run(cluster)


if __name__ == "__main__":
    main()
