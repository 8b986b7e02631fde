"""Starts a deployment of stand-ins and daemons as plain processes on loopback, for demos and tests."""

import json
import os
import signal
import time

from links import STORE, Links
from processes import HOST, Process, call, reserve_ports, wait_until

TOKEN_KEY = "loopback-demo-token-key"
DAEMON_PORTS = ("caller", "admin", "control", "traffic")


def load_deployment(path):
    with open(path, encoding="utf-8") as file:
        return json.load(file)


class Cluster:
    """Platform, endpoints and daemons of one deployment; a context manager that ends what it started.

    With "links" in the deployment, zones and callers reach each other through relays.
    """

    def __init__(self, deployment, bin_directory, log_directory, daemon_flags=()):
        self.deployment = deployment
        self.bin_directory = bin_directory
        self.log_directory = log_directory
        self.daemon_flags = list(daemon_flags)
        self.processes = {}
        self.endpoints = {}
        self.daemons = {}
        self.links = Links(self, deployment["links"]) if "links" in deployment else None
        os.makedirs(log_directory, exist_ok=True)

    def __enter__(self):
        try:
            self._start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    def stop(self):
        for process in self.processes.values():
            process.stop()

    def program(self, name, *arguments):
        return [os.path.join(self.bin_directory, name), *arguments]

    def launch(self, name, arguments):
        process = Process(name, arguments, self.log_directory)
        process.start()
        self.processes[name] = process
        return process

    def _start(self):
        self._choose_addresses()
        if self.links:
            self._place_links()
        self._start_platform()
        for name in self.endpoints:
            self._start_endpoint(name)
        for name in self.daemons:
            self.start_daemon(name)
        self._create_objects()

    def _choose_addresses(self):
        zones = self.deployment["zones"]
        (port,) = reserve_ports(1)
        self.platform = f"{HOST}:{port}"
        for service in self.deployment["services"]:
            for zone, port in zip(zones, reserve_ports(len(zones))):
                self.endpoints[f"{service['name']}-{zone['name']}"] = {
                    "service": service["name"], "zone": zone["name"], "region": zone["region"],
                    "address": f"{HOST}:{port}", "slots": service["slots"], "flags": service.get("flags", [])}
        for zone in zones:
            for number in range(zone["daemons"]):
                addresses = (f"{HOST}:{port}" for port in reserve_ports(len(DAEMON_PORTS)))
                self.daemons[f"{zone['name']}-vm{number + 1}"] = {
                    "zone": zone["name"], "region": zone["region"], **dict(zip(DAEMON_PORTS, addresses))}

    def _place_links(self):
        self.links.add_target(self.platform, STORE, "daemon")
        for endpoint in self.endpoints.values():
            for kind in ("daemon", "endpoint"):
                self.links.add_target(endpoint["address"], endpoint["zone"], kind)
        for daemon in self.daemons.values():
            for plane in ("control", "traffic"):
                self.links.add_target(daemon[plane], daemon["zone"], "daemon")
            daemon["caller_via"] = self.links.add_caller_target(daemon["caller"])
        self.links.start()

    def _override_flags(self, zone, kind):
        return [self.links.override_flag(zone, kind)] if self.links else []

    def _start_platform(self):
        port = self.platform.rsplit(":", 1)[1]
        self.launch("platform", self.program("platform_standin", f"--port={port}", "--vm-list-lag-ms=1000"))
        wait_until(lambda: call(self.platform, "GET", "/v1/objects")[0] == 200, 10, "platform did not start")

    def _start_endpoint(self, name):
        endpoint = self.endpoints[name]
        port = endpoint["address"].rsplit(":", 1)[1]
        self.launch(name, self.program(
            "database_standin", f"--port={port}", f"--id={name}", f"--slots={endpoint['slots']}",
            f"--group-size={len(self.deployment['zones'])}", *endpoint["flags"],
            *self._override_flags(endpoint["zone"], "endpoint")))

    def start_daemon(self, name):
        daemon = self.daemons[name]
        seeds = ",".join(other["control"] for key, other in self.daemons.items() if key != name)
        self.launch(name, self.program(
            "pistachiowoodd", f"--vm={name}", f"--zone={daemon['zone']}", f"--region={daemon['region']}",
            *(f"--{plane}-address={daemon[plane]}" for plane in DAEMON_PORTS), f"--platform={self.platform}",
            f"--seeds={seeds}", f"--token-key={TOKEN_KEY}", *self.daemon_flags,
            *self._override_flags(daemon["zone"], "daemon")))
        self.list_vm(name)

    def list_vm(self, name, state="live"):
        daemon = self.daemons[name]
        call(self.platform, "PUT", f"/standin/vms/{name}", {
            "zone": daemon["zone"], "region": daemon["region"], "address": daemon["control"], "state": state})

    def replace_daemon(self, name, new_name, timeout=40):
        """Shuts a daemon down gracefully and starts another VM at its addresses; returns the exit code."""
        self.list_vm(name, "leaving")
        code = self.processes[name].stop(signal.SIGTERM, timeout)
        call(self.platform, "DELETE", f"/standin/vms/{name}")
        self.daemons[new_name] = self.daemons.pop(name)
        self.start_daemon(new_name)
        return code

    def kill(self, name):
        self.processes[name].stop(signal.SIGKILL)

    def freeze(self, name):
        self.processes[name].send(signal.SIGSTOP)

    def resume(self, name):
        self.processes[name].send(signal.SIGCONT)

    def set_platform_faults(self, **faults):
        """Fields: outage, delay_ms, lose_answers, vm_list_lag_ms."""
        return call(self.platform, "POST", "/standin/faults", faults)[1]

    def put_object(self, kind, name, value, expected=0):
        """Stores an object on the platform; returns (status, body)."""
        return call(self.platform, "PUT", f"/v1/objects/{kind}/{name}", {
            "expected_version": expected, "operation_id": f"{expected}.{name}-{time.time_ns()}", "object": value})

    def get_object(self, kind, name):
        """(status, {"version", "object", ...}) as stored on the platform."""
        return call(self.platform, "GET", f"/v1/objects/{kind}/{name}")

    def _create(self, kind, name, value):
        status, body = self.put_object(kind, name, value)
        if status != 200:
            raise RuntimeError(f"cannot store {kind}/{name}: {body}")

    def _create_objects(self):
        self._create("Team", "demo", {})
        for service in self.deployment["services"]:
            self._create("DatabaseService", service["name"], {"team": "demo"})
        for name, endpoint in self.endpoints.items():
            self._create("Endpoint", name, {
                "service": endpoint["service"], "address": endpoint["address"], "zone": endpoint["zone"],
                "region": endpoint["region"], "slots": endpoint["slots"], "connections": 30,
                "labels": {"zone": endpoint["zone"], "region": endpoint["region"]}})

    def services(self):
        return [service["name"] for service in self.deployment["services"]]

    def caller_addresses(self):
        return [daemon.get("caller_via", daemon["caller"]) for daemon in self.daemons.values()]

    def statement(self, daemon, service, body, timeout=70.0):
        return call(self.daemons[daemon]["caller"], "POST", f"/v1/services/{service}/statements", body, timeout)

    def admin(self, daemon, method, path, body=None):
        return call(self.daemons[daemon]["admin"], method, path, body)

    def wait_in_force(self, version, timeout=10):
        """Waits until each daemon applies the version itself, which is stricter than the gossiped view."""
        for name in self.daemons:
            wait_until(lambda: self.admin(name, "GET", "/v1/status")[1]["applied_version"] >= version,
                       timeout, f"{name} does not apply version {version}")

    def wait_ready(self, timeout=20):
        """Waits until every running daemon can write to every service."""
        for service in self.services():
            for name in self.daemons:
                if not self.processes[name].is_running():
                    continue
                body = {"kind": "write", "deadline_ms": 1000,
                        "statement": {"op": "put", "key": "ready", "value": name}}
                wait_until(lambda: self.statement(name, service, body)[1].get("outcome") == "committed",
                           timeout, f"{name} cannot write to {service}")

    def endpoint_status(self, name, timeout=2.0):
        return call(self.endpoints[name]["address"], "GET", "/v1/status", timeout=timeout)[1]

    def find_primary(self, service, timeout=0.5):
        """(term, name) of the primary of the highest term among the endpoints that answer, or None."""
        found = []
        for name, endpoint in self.endpoints.items():
            if endpoint["service"] == service and self.processes[name].is_running():
                try:
                    status = self.endpoint_status(name, timeout)
                except OSError:
                    continue
                if status["role"] == "primary":
                    found.append((status["term"], name))
        return max(found, default=None)

    def wait_new_primary(self, service, above, timeout=30):
        """Waits for a primary of a term above the given one; returns (term, name)."""
        def newer():
            found = self.find_primary(service)
            return found if found and found[0] > above else None
        return wait_until(newer, timeout, f"{service} has no primary above term {above}")
