"""Processes, ports and HTTP calls on loopback, shared by the scripts and system tests."""

import http.client
import json
import os
import random
import signal
import socket
import subprocess
import time

HOST = "127.0.0.1"
reserved_ports = set()


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
    """Returns free ports that no earlier call returned, outside the range of outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(10000, 32000)
        with socket.socket() as candidate:
            try:
                candidate.bind((HOST, port))
            except OSError:
                continue
        if port not in reserved_ports:
            reserved_ports.add(port)
            ports.append(port)
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
            self.handle = subprocess.Popen(
                self.arguments, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def send(self, number):
        self.handle.send_signal(number)

    def stop(self, number=signal.SIGKILL, timeout=40):
        if self.is_running():
            self.handle.send_signal(number)
        if self.handle:
            self.handle.wait(timeout)
            return self.handle.returncode
        return None

    def is_running(self):
        return self.handle is not None and self.handle.poll() is None
