"""Common base of the system tests: a running deployment, background load and the history check."""

import json
import os
import subprocess
import sys
import tempfile
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "scripts"))

from cluster import Cluster, load_deployment  # noqa: E402
from processes import call  # noqa: E402

BIN = sys.argv.pop(1) if len(sys.argv) > 1 and os.path.isdir(sys.argv[1]) else os.path.join(ROOT, "build/release/bin")
MAX_FAILOVER_MS = 12000  # requirement: a change of primary takes at most 12 s


class Load:
    """loadgen in the background, and the check of the history that it recorded."""

    def __init__(self, cluster, services, duration, seed, *flags):
        self.cluster = cluster
        self.services = services
        self.history = os.path.join(cluster.log_directory, f"history-{seed}.jsonl")
        self.final = os.path.join(cluster.log_directory, f"final-{seed}.jsonl")
        self.seed = seed
        self.process = subprocess.Popen(
            [*self._command(), f"--duration-s={duration}", "--output=json", *flags],
            stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)

    def _command(self):
        return self.cluster.program(
            "loadgen", "--daemons=" + ",".join(self.cluster.caller_addresses()),
            "--services=" + ",".join(self.services), f"--seed={self.seed}", "--keys=40",
            f"--history={self.history}")

    def finish(self, timeout=60):
        """Waits for the end of the load; returns its measures."""
        output, _ = self.process.communicate(timeout=timeout)
        if self.process.returncode != 0:
            raise AssertionError(f"loadgen failed: {output}")
        return json.loads(output)

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.process.stdout.close()

    def check(self, timeout=90):
        """Dumps the final content and runs history_check; returns (passed, its output)."""
        dump = [part for part in self._command() if not part.startswith("--history")]
        done = subprocess.run([*dump, f"--dump-final={self.final}"], capture_output=True, text=True, timeout=timeout)
        if done.returncode != 0:
            return False, f"final dump: {done.stdout}{done.stderr}"
        done = subprocess.run(
            self.cluster.program("history_check", f"--history={self.history}", f"--final={self.final}"),
            capture_output=True, text=True, timeout=timeout)
        return done.returncode == 0, done.stdout + done.stderr

    def records(self):
        with open(self.history, encoding="utf-8") as file:
            return [json.loads(line) for line in file]


class SystemCase(unittest.TestCase):
    """One deployment per test class; set `deployment` to a file of examples/."""

    deployment = "demo.json"
    service = "orders"
    cluster = None

    @classmethod
    def setUpClass(cls):
        cls.directory = tempfile.TemporaryDirectory()
        description = load_deployment(os.path.join(ROOT, "examples", cls.deployment))
        cls.cluster = Cluster(cls.adjust(description), BIN, cls.directory.name)
        cls.cluster.__enter__()
        try:
            cls.cluster.wait_ready(40)
        except BaseException:
            cls.tearDownClass()
            raise

    @classmethod
    def tearDownClass(cls):
        cls.cluster.stop()
        if "KEEP_LOGS" in os.environ:
            os.system(f"cp -r {cls.directory.name} {os.environ['KEEP_LOGS']}")
        cls.directory.cleanup()

    @classmethod
    def adjust(cls, description):
        return description

    def start_load(self, duration, seed, *flags, services=None):
        load = Load(self.cluster, services or [self.service], duration, seed, *flags)
        self.addCleanup(load.stop)
        return load

    def assert_history_holds(self, load):
        passed, output = load.check()
        self.assertTrue(passed, output)

    def post(self, daemon, path, body=None, service=None):
        address = self.cluster.daemons[daemon]["caller"]
        return call(address, "POST", f"/v1/services/{service or self.service}/{path}", body or {}, timeout=20)

    def write(self, daemon, key, value, **fields):
        return self.post(daemon, "statements", {
            "kind": "write", "deadline_ms": 5000, "statement": {"op": "append", "key": key, "value": value}, **fields})

    def read(self, daemon, key, **fields):
        return self.post(daemon, "statements", {
            "kind": "read", "deadline_ms": 5000, "statement": {"op": "get", "key": key}, **fields})

    def values(self, daemon, key, session):
        _, answer = self.read(daemon, key, session=session)
        self.assertEqual(answer.get("outcome"), "committed", answer)
        result = answer["result"]
        return result["values"] if isinstance(result, dict) else result

    def begin(self, daemon):
        status, answer = self.post(daemon, "transactions", {"deadline_ms": 5000})
        self.assertEqual(status, 200, answer)
        return answer["transaction"]

    def primary(self, service=None):
        found = self.cluster.find_primary(service or self.service, timeout=2)
        self.assertIsNotNone(found)
        return found
