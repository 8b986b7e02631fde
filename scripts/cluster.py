"""Starts a deployment of stand-ins and daemons as plain processes on loopback, for demos and tests."""

import http.client
import json
import os
import signal
import socket
import subprocess
import time

HOST = "127.0.0.1"
TOKEN_KEY = "loopback-demo-token-key"


def call(address, method, path, body=None, timeout=5.0):
    """Sends one request; returns (status, decoded body). Raises OSError when there is no answer."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        text = None if body is None else json.dumps(body)
        connection.request(method, path, text, {"Content-Type": "application/json"} if text else {})
        response = connection.getresponse()
        data = response.read()
        return response.status, json.loads(data) if data else {}
    except http.client.HTTPException as failure:
        raise OSError(str(failure)) from failure
    finally:
        connection.close()


def wait_until(condition, timeout, what):
    """Polls until the condition holds; returns its value. Raises TimeoutError."""
    end = time.monotonic() + timeout
    while True:
        try:
            value = condition()
            if value:
                return value
        except OSError:
            pass
        if time.monotonic() > end:
            raise TimeoutError(what)
        time.sleep(0.05)


def reserve_ports(count):
    """Returns free ports; all stay bound until all are chosen, so that none repeats."""
    sockets = [socket.socket() for _ in range(count)]
    for reserved in sockets:
        reserved.bind((HOST, 0))
    ports = [reserved.getsockname()[1] for reserved in sockets]
    for reserved in sockets:
        reserved.close()
    return ports


class Process:
    """One program of the deployment."""

    def __init__(self, name, arguments, log_directory):
        self.name = name
        self.arguments = arguments
        self.log_path = os.path.join(log_directory, name + ".log")
        self.handle = None

    def start(self):
        with open(self.log_path, "ab") as log:
            self.handle = subprocess.Popen(self.arguments, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def send(self, number):
        self.handle.send_signal(number)

    def stop(self, number=signal.SIGKILL, timeout=40):
        if self.handle and self.handle.poll() is None:
            if number == signal.SIGKILL:
                self.handle.send_signal(signal.SIGCONT)
            self.handle.send_signal(number)
        if self.handle:
            self.handle.wait(timeout)
            return self.handle.returncode
        return None

    def is_running(self):
        return self.handle is not None and self.handle.poll() is None


class Cluster:
    """Platform, endpoints and daemons of one deployment; a context manager that ends what it started."""

    def __init__(self, deployment, bin_directory, log_directory, daemon_flags=()):
        self.deployment = deployment
        self.bin_directory = bin_directory
        self.log_directory = log_directory
        self.daemon_flags = list(daemon_flags)
        self.processes = {}
        self.endpoints = {}
        self.daemons = {}
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
        self._start_platform()
        self._start_endpoints()
        self._start_daemons()
        self._create_objects()

    def _start_platform(self):
        (port,) = reserve_ports(1)
        self.platform = f"{HOST}:{port}"
        self.launch("platform", self.program("platform_standin", f"--port={port}", "--vm-list-lag-ms=1000"))
        wait_until(lambda: call(self.platform, "GET", "/v1/objects")[0] == 200, 10, "platform did not start")

    def _start_endpoints(self):
        zones = self.deployment["zones"]
        for service in self.deployment["services"]:
            ports = reserve_ports(len(zones))
            for zone, port in zip(zones, ports):
                name = f"{service['name']}-{zone['name']}"
                self.endpoints[name] = {
                    "service": service["name"], "zone": zone["name"], "region": zone["region"],
                    "address": f"{HOST}:{port}", "slots": service["slots"],
                }
                self.launch(name, self.program(
                    "database_standin", f"--port={port}", f"--id={name}", f"--slots={service['slots']}",
                    f"--group-size={len(zones)}", *service.get("flags", [])))

    def _start_daemons(self):
        names = [(zone, f"{zone['name']}-vm{i + 1}") for zone in self.deployment["zones"] for i in range(zone["daemons"])]
        ports = reserve_ports(4 * len(names))
        for index, (zone, name) in enumerate(names):
            caller, admin, control, traffic = (f"{HOST}:{port}" for port in ports[4 * index: 4 * index + 4])
            self.daemons[name] = {
                "zone": zone["name"], "region": zone["region"],
                "caller": caller, "admin": admin, "control": control, "traffic": traffic,
            }
        for name in self.daemons:
            self.start_daemon(name)

    def start_daemon(self, name):
        daemon = self.daemons[name]
        seeds = ",".join(other["control"] for key, other in self.daemons.items() if key != name)
        self.launch(name, self.program(
            "pistachiowoodd", f"--vm={name}", f"--zone={daemon['zone']}", f"--region={daemon['region']}",
            f"--caller-address={daemon['caller']}", f"--admin-address={daemon['admin']}",
            f"--control-address={daemon['control']}", f"--traffic-address={daemon['traffic']}",
            f"--platform={self.platform}", f"--seeds={seeds}", f"--token-key={TOKEN_KEY}", *self.daemon_flags))
        call(self.platform, "PUT", f"/standin/vms/{name}", {
            "zone": daemon["zone"], "region": daemon["region"], "address": daemon["control"]})

    def put_object(self, kind, name, value, expected=0):
        status, body = call(self.platform, "PUT", f"/v1/objects/{kind}/{name}", {
            "expected_version": expected, "operation_id": f"{expected}.{name}-{time.time_ns()}", "object": value})
        if status != 200:
            raise RuntimeError(f"cannot store {kind}/{name}: {body}")
        return body["version"]

    def _create_objects(self):
        self.put_object("Team", "demo", {})
        for service in self.deployment["services"]:
            self.put_object("DatabaseService", service["name"], {"team": "demo"})
        for name, endpoint in self.endpoints.items():
            self.put_object("Endpoint", name, {
                "service": endpoint["service"], "address": endpoint["address"], "zone": endpoint["zone"],
                "region": endpoint["region"], "slots": endpoint["slots"], "connections": 30,
                "labels": {"zone": endpoint["zone"], "region": endpoint["region"]}})

    def caller_addresses(self):
        return [daemon["caller"] for daemon in self.daemons.values()]

    def statement(self, daemon, service, body, timeout=70.0):
        return call(self.daemons[daemon]["caller"], "POST", f"/v1/services/{service}/statements", body, timeout)

    def wait_ready(self, timeout=20):
        """Waits until every daemon can write to every service."""
        for service in self.deployment["services"]:
            for name in self.daemons:
                body = {"kind": "write", "deadline_ms": 1000,
                        "statement": {"op": "put", "key": "ready", "value": name}}
                wait_until(lambda: self.statement(name, service["name"], body)[1].get("outcome") == "committed",
                           timeout, f"{name} cannot write to {service['name']}")

    def endpoint_status(self, name):
        return call(self.endpoints[name]["address"], "GET", "/v1/status", timeout=2.0)[1]

    def find_primary(self, service):
        """Name of the endpoint that is primary of the highest term among those that answer."""
        best = None
        for name, endpoint in self.endpoints.items():
            if endpoint["service"] != service or not self.processes[name].is_running():
                continue
            try:
                status = self.endpoint_status(name)
            except OSError:
                continue
            if status["role"] == "primary" and (best is None or status["term"] > best[0]):
                best = (status["term"], name)
        return best[1] if best else None
