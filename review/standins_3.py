"""Stand-ins of the users' platform for the cases 11 to 15: store, promotion call, database backends and clients.

They follow PROTOCOL.md and DEPLOY.md; where a page is silent they behave like a sound server. All run in one event loop.
The program under test runs as separate processes, started with the command of deploy/system.toml.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, unquote, urlsplit

HELD, BROKEN, NOT_RUN = 0, 1, 2
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
MAX_LINE = 2**21
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

SETTINGS = """node_name = "{name}"
role = "gateway"
machine_class = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "a"
region = "north"
internal_ports = [{peer},{last}]
seeds = [{seeds}]
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","recover","sql","platform"]
[zones]
a = "north"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4300
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 4000
ack_ms = 5000
catch_up_s = 4
drain_ms = 7000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
back_ms = 250
max_skew_ms = 12000
recover_s = 12
require_fencing = false
thaw_ms = 300
[platform]
address = "{store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
[cloud]
address = "{cloud}"
rate_per_s = 50.0
duties = ["promotion"]
duty_per_s = 50.0
"""


def free_ports(count, ip):
    sockets = [socket.socket() for _ in range(count)]
    for entry in sockets:
        entry.bind((ip, 0))
    ports = [entry.getsockname()[1] for entry in sockets]
    for entry in sockets:
        entry.close()
    return ports


class Record:
    """What was sent, answered and run, with the seconds since the start; written to record.txt at the end."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.began = time.monotonic()
        self.lines = []

    def __call__(self, *parts):
        self.lines.append(f"{time.monotonic() - self.began:8.3f} " + " ".join(str(part) for part in parts))

    def write(self):
        with open(self.path, "w", encoding="utf-8") as file:
            file.write("\n".join(self.lines) + "\n")


async def read_http(reader):
    """Method, target, headers and body of a request; None at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode().split(" ", 2)
    headers = {}
    while header := (await reader.readline()).decode().strip():
        name, _, value = header.partition(":")
        headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = json.loads(await reader.readexactly(length)) if length else {}
    return method, target, headers, body


def http_answer(status, body):
    text = json.dumps(body).encode()
    return b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(text)) + text


class Store:
    """The platform's metadata store; linearizable, loses nothing."""

    def __init__(self):
        self.rev = 10
        self.objects = {}
        self.events = []
        self.changed = asyncio.Condition()

    def put(self, kind, name, spec, status=None):
        known = self.objects.get((kind, name))
        if known and known["spec"] == spec:
            return known
        self.rev += 1
        item = {"meta": {"name": name, "rev": self.rev, "created": known["meta"]["created"] if known else self.rev,
                         "finalizers": [], "delete_requested": False}, "spec": spec, "status": status or {}}
        self.objects[(kind, name)] = item
        self.note(kind, item, False)
        return item

    def delete(self, kind, name):
        if item := self.objects.pop((kind, name), None):
            self.rev += 1
            item["meta"]["rev"] = self.rev
            self.note(kind, item, True)

    def note(self, kind, item, deleted):
        self.events.append((self.rev, kind, {"object": json.loads(json.dumps(item)), "deleted": deleted}))
        asyncio.ensure_future(self.notify())

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while request := await read_http(reader):
                method, target, _, body = request
                status, answer = await self.handle(method, target, body)
                writer.write(http_answer(status, answer))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, body):
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        kind, _, name = url.path.removeprefix("/api/objects/").partition("/")
        name = unquote(name)
        if method == "GET" and "watch" in query:
            return 200, await self.watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)) / 1000)
        if method == "GET" and not name:
            items = [item for (other, _), item in self.objects.items() if other == kind]
            return 200, {"items": items, "has_more": False, "at_rev": self.rev}
        if method == "POST":
            name = body["meta"]["name"]
        known = self.objects.get((kind, name))
        if method == "POST":
            return (409, known) if known else (201, self.put(kind, name, body["spec"]))
        if not known:
            return 404, {}
        if method == "GET":
            return 200, known
        expected = int(query["rev"]) if "rev" in query else body.get("meta", {}).get("rev", known["meta"]["rev"])
        if expected != known["meta"]["rev"]:
            return 409, known
        if method == "DELETE":
            self.delete(kind, name)
            return 200, known
        return 200, self.put(kind, name, body["spec"])

    async def watch(self, kind, since, wait):
        def news():
            return [event for rev, other, event in self.events if rev > since and other == kind]
        deadline = time.monotonic() + wait
        while not news() and time.monotonic() < deadline:
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), deadline - time.monotonic())
            except asyncio.TimeoutError:
                break
        return {"events": news(), "at_rev": self.rev}


class Backend:
    """One database of a service. A commit gets the next number; replicas receive it after lag_s."""

    def __init__(self, service, name):
        self.service = service
        self.name = name
        self.term = 1
        self.held = 1
        self.primary = False
        self.log = []  # of (term, number, statement id, item, data)
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.writers = set()
        self.slots = asyncio.Semaphore(service.slots)
        self.server = None
        self.port = 0

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=MAX_LINE)
        self.port = self.server.sockets[0].getsockname()[1]
        self.report()

    def report(self):
        self.sequence += 1
        self.service.store.put("servers", self.name, {
            "service": self.service.name, "address": f"127.0.0.1:{self.port}", "zone": "a", "version": "v1",
            "slots": self.service.slots, "state": self.state, "cold_left_ms": 0,
            "target_role": "primary" if self.primary else "replica", "sequence": self.sequence, "born": self.born})

    def position(self):
        return (self.log[-1][0], self.log[-1][1]) if self.log else (self.term, 0)

    def ready(self, state):
        return f"READY {state} {self.position()[0]}.{self.position()[1]}\r\n"

    def append(self, rows):
        for identity, item, data in rows:
            number = self.log[-1][1] + 1 if self.log else 1
            self.log.append((self.term, number, identity, item, data))
        asyncio.get_running_loop().call_later(self.service.lag_s, self.service.replicate, self, len(self.log))

    async def serve(self, reader, writer):
        self.writers.add(writer)
        connection = Connection(self, f"{self.name}/{id(writer) & 0xffffff:x}")
        try:
            word, service, _, identity, *_ = (await reader.readline()).decode().split() + [""] * 4
            if word != "START" or service != self.service.name or identity not in ("", self.name):
                writer.write(b"ERR MISROUTED wrong\r\n")
                return
            if len(self.writers) > self.service.max_conns:
                writer.write(b"ERR TOOMANY full\r\n")
                return
            await asyncio.sleep(self.service.handshake_s)
            writer.write(self.ready("I").encode())
            while line := (await reader.readline()).decode().removesuffix("\r\n"):
                if line == "BYE":
                    return
                _, identity, text = line.split(" ", 2)
                answer = await connection.run(identity, text)
                if identity != "-" and self.service.lose and random.random() < self.service.lose:
                    return  # it ran, and its answer is lost
                writer.write((answer + self.ready(connection.state)).encode())
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Connection:
    """State of one connection to a backend."""

    def __init__(self, backend, name):
        self.backend = backend
        self.name = name
        self.state = "I"
        self.writes = []
        self.read_only = False
        self.values = {}
        self.prepared = {}

    def fail(self, code):
        if self.state == "T":
            self.state = "E"
        return f"ERR {code} {self.backend.name}\r\n"

    def end(self):
        self.state, self.writes, self.read_only = "I", [], False

    async def run(self, identity, text):
        backend = self.backend
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            if tuple(int(part) for part in position.split(".")) > backend.position():
                return self.fail("LAGGING")
        word, _, rest = text.partition(" ")
        if self.state == "E" and word not in ("COMMIT", "ROLLBACK"):
            return "ERR MALFORMED -\r\n"
        if word in ("STATUS", "STEPDOWN"):
            if word == "STEPDOWN" and backend.primary and int(rest) > backend.term:
                backend.primary, backend.held = False, int(rest)
            term, number = backend.position()
            role = "primary" if backend.primary else "replica"
            return f"ROW {role} {max(backend.term, backend.held)} {term}.{number} 0 0 0 {len(backend.writers)}\r\nDONE -\r\n"
        if word == "BEGIN":
            if self.state != "I":
                return self.fail("MALFORMED")
            if rest != "READ" and not backend.primary:
                return "ERR READONLY -\r\n"
            self.state, self.writes, self.read_only = "T", [], rest == "READ"
            return "DONE -\r\n"
        if word == "ROLLBACK":
            self.end()
            return "DONE -\r\n"
        if word == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
            return "DONE -\r\n"
        if word == "PREPARE":
            name, kind, shape = rest.split(" ", 2)
            self.prepared[name] = (kind, shape[:40])  # tells the shapes of a client apart
            return "DONE -\r\n"
        if word == "DEALLOC":
            self.prepared.pop(rest, None)
            return "DONE -\r\n"
        if word == "RESET":
            self.values, self.prepared = {}, {}
            return "DONE -\r\n"
        return await self.work(identity, word, rest)

    async def work(self, identity, word, rest):
        """A read, write or commit: takes a slot."""
        backend = self.backend
        shape = None
        if word == "EXEC":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return self.fail("NOSTMT")
            kind, shape = self.prepared[name]
            word = kind
        writes = word == "WRITE" or (word == "COMMIT" and self.writes)
        if writes and not backend.primary:
            return self.fail("READONLY")
        if self.state == "T" and not self.read_only and not backend.primary and word != "COMMIT":
            return self.fail("READONLY")
        async with backend.slots:
            await asyncio.sleep(backend.service.work_s)
        signature = f"DONE {backend.name}.{identity}\r\n"
        mode = "inside" if self.state == "T" else "alone"
        backend.service.note(backend, self, identity, word, rest, mode, shape)
        if word == "READ":
            rows = [entry[4] for entry in backend.log if entry[3] == rest]
            return "".join(f"ROW {row}\r\n" for row in rows[-1:]) + signature
        if word == "WRITE":
            item, _, data = rest.partition(" ")
            if self.state == "T":
                self.writes.append((identity, item, data))
            else:
                backend.append([(identity, item, data)])
            return signature
        if word == "COMMIT":
            if self.state == "E":
                self.end()
                return "ERR ABORTED -\r\n"
            if self.writes:
                backend.append(self.writes)
            self.end()
            return signature
        return self.fail("MALFORMED")


class Service:
    """Backends of one database, the promotion call, and what they ran."""

    def __init__(self, store, record, name="ledger-db", slots=5, max_conns=32, work_s=0.005, lag_s=0.03,
                 promote_s=0.3, handshake_s=0.012):
        self.store = store
        self.record = record
        self.name = name
        self.slots, self.max_conns, self.work_s, self.lag_s = slots, max_conns, work_s, lag_s
        self.promote_s, self.handshake_s = promote_s, handshake_s
        self.backends = {}
        self.runs = []  # of (id, word, mode, backend, connection)
        self.promotions = []
        self.lose = 0.0  # share of the answers to clients' statements that are lost

    async def add(self, name, primary=False):
        backend = Backend(self, name)
        backend.primary = primary
        self.backends[name] = backend
        await backend.start()
        return backend

    def note(self, backend, connection, identity, word, rest, mode, shape):
        self.runs.append((identity, word, mode, backend.name, connection.name, dict(connection.values), shape))
        text = rest if len(rest) < 60 else f"{rest[:40]}.. ({len(rest)} bytes)"
        self.record("run", backend.name, connection.name, mode, identity, word, text, shape or "")

    def replicate(self, source, length):
        if source.term != max(backend.term for backend in self.backends.values()):
            return
        for backend in self.backends.values():
            if backend is not source and len(backend.log) < length:
                backend.log = source.log[:length]

    def promote(self, name, holder, token):
        """Status of the answer to a promotion call."""
        self.record("promotion", self.name, name, holder, token)
        self.promotions.append((holder, int(token), name))
        backend = self.backends.get(name)
        if backend and not backend.primary:
            asyncio.get_running_loop().call_later(self.promote_s, self.lead, backend)
        return 200 if backend else 409

    def lead(self, backend):
        term = max(other.term for other in self.backends.values()) + 1
        for other in self.backends.values():
            if other is not backend:
                other.primary = False
                other.log = other.log[:len(backend.log)]
            other.term = term
        backend.primary = True
        self.record("leads", backend.name, "term", term)
        for other in self.backends.values():
            other.report()


def configuration(version, services, routes, tx_idle_ms=3000):
    """routes: of (database, kind, timeout_ms, target_latency_ms, index of the service)."""
    return {"version": version, "routes": [
        {"name": f"r-{database}", "db_name": database, "path_prefix": "/", "kind": kind, "timeout_ms": timeout,
         "target_latency_ms": target, "priority": 1, "service": services[index].name, "max_attempts": 2,
         "max_staleness_ms": 2500} for database, kind, timeout, target, index in routes],
        "services": [{"name": service.name, "health_path": "/health", "max_conns": service.max_conns,
                      "protocol": "h1", "tls": False, "sync_replicas": 0} for service in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000, "tx_idle_ms": tx_idle_ms}}


class Node:
    """One machine of the system: a process of the program under test."""

    def __init__(self, deployment, number):
        self.deployment = deployment
        self.ip = "127.0.0.1"
        self.name = f"front-a-{number}"
        self.front, self.ready, self.control, self.peer = free_ports(4, self.ip)
        self.process = None
        self.log = None

    async def start(self):
        path = os.path.join(self.deployment.folder, self.name + ".toml")
        seeds = ",".join(f'"{node.ip}:{node.control}"' for node in self.deployment.nodes[:3])
        with open(path, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(name=self.name, ip=self.ip, peer=self.peer, last=self.peer + 15, seeds=seeds,
                                       front=self.front, ready=self.ready, control=self.control,
                                       store=self.deployment.store_address, cloud=self.deployment.cloud_address))
        self.log = open(os.path.join(self.deployment.folder, self.name + ".log"), "ab")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["PISTACHIOWOOD_CONFIG"] = path
        self.process = await asyncio.create_subprocess_exec(*self.deployment.command, cwd=ROOT, env=environment,
                                                            stdout=self.log, stderr=self.log)

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


class Deployment:
    """A small deployment on loopback addresses; a context manager that ends what it started."""

    def __init__(self, record, nodes=2, services=1, **service):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.command = tomllib.load(file)["roles"]["gateway"]["run"].split(" ")
        self.store = Store()
        self.services = [Service(self.store, record, f"ledger-{number}", **service) for number in range(services)]
        self.service = self.services[0]
        self.nodes = []
        self.count = nodes
        self.servers = []

    async def __aenter__(self):
        for handler, name in ((self.store.serve, "store_address"), (self.promote, "cloud_address")):
            server = await asyncio.start_server(handler, "127.0.0.1", 0, limit=MAX_LINE)
            self.servers.append(server)
            setattr(self, name, f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        self.nodes = [Node(self, number) for number in range(1, self.count + 1)]
        return self

    async def start(self, routes, **limits):
        for index, service in enumerate(self.services):
            for number in range(3):
                await service.add(f"i-{number}{'abc'[index]}", primary=number == 0)
        routes = [(*route, 0)[:5] for route in routes]
        self.store.put("config", "main", configuration(7, self.services, routes, **limits))
        for node in self.nodes:
            await node.start()
        for node in self.nodes:
            for _ in range(200):
                if await node.is_ready():
                    break
                await asyncio.sleep(0.05)
            else:
                raise NotRun(f"{node.name} doesn't get ready")

    async def promote(self, reader, writer):
        try:
            while request := await read_http(reader):
                _, _, headers, body = request
                for service in self.services:
                    if service.name == body["service"]:
                        status = service.promote(body["id"], headers.get("x-lease-holder"),
                                                 headers.get("x-fencing-token", 0))
                        writer.write(http_answer(status, {}))
                        await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def __aexit__(self, *_):
        for node in self.nodes:
            if node.process and node.process.returncode is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                await node.process.wait()
        for server in self.servers:
            server.close()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


class NotRun(Exception):
    pass


class Closed(Exception):
    pass


class Session:
    """A client's connection."""

    def __init__(self, record, name, reader, writer):
        self.record, self.name, self.reader, self.writer = record, name, reader, writer

    @classmethod
    async def open(cls, record, name, node, database):
        reader, writer = await asyncio.open_connection(node.ip, node.front, limit=MAX_LINE)
        session = cls(record, name, reader, writer)
        writer.write(f"START {database} {name}\r\n".encode())
        line = (await reader.readline()).decode().rstrip()
        if not line.startswith("READY"):
            writer.close()
            raise Closed(line)
        return session

    async def query(self, identity, text, pieces=1, pause_s=0.0):
        """Sends a statement, in pieces with pauses; returns (code or None, rows, state, signature)."""
        message = f"QUERY {identity} {text}\r\n".encode()
        shown = text if len(text) < 60 else f"{text[:40]}.. ({len(text)} bytes)"
        self.record("send", self.name, identity, shown)
        size = -(-len(message) // pieces)
        try:
            for begin in range(0, len(message), size):
                self.writer.write(message[begin:begin + size])
                await self.writer.drain()
                if begin + size < len(message):
                    await asyncio.sleep(pause_s)
            rows, code, signature = [], None, None
            while line := (await self.reader.readline()).decode().removesuffix("\r\n"):
                word, _, rest = line.partition(" ")
                if word == "ROW":
                    rows.append(rest)
                elif word == "DONE":
                    signature = rest
                elif word == "ERR":
                    code = rest.split(" ")[0]
                elif word == "READY":
                    self.record("answer", self.name, identity, code or "DONE", rest)
                    return code, rows, rest.split(" ")[0], signature
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        self.record("closed", self.name, identity)
        raise Closed(identity)

    def close(self):
        self.writer.close()


def main(folder, case, limit_s=110):
    """Runs the coroutine case(record), which returns HELD or BROKEN, and exits with its result."""
    record = Record(folder)
    record("TROUBLE", int(TROUBLE))
    try:
        result = asyncio.run(asyncio.wait_for(case(record), limit_s))
    except (NotRun, OSError, asyncio.TimeoutError) as failure:
        record("not run:", type(failure).__name__, failure)
        result = NOT_RUN
    record("result", result)
    record.write()
    print({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}[result])
    sys.exit(result)


random.seed(3)
