"""A small installation on loopback for the review's scripts: store, cloud call, database backends, clients, operator.

The stand-ins follow PROTOCOL.md and DEPLOY.md of the users' pages. The daemons are the project's own program, started
with the command of deploy/system.toml. All sockets are on 127.0.0.0/8.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
HEARTBEAT_S = 1.2
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 4000, "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 7000,
          "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 3000, "back_ms": 250, "max_skew_ms": 12000,
          "recover_s": 12, "require_fencing": False, "thaw_ms": 300}
ZONES = {"rajkot": "saurashtra", "junagadh": "saurashtra", "mehsana": "north-guj"}


class NotRun(Exception):
    """The case could not run."""


class Record:
    """record.txt beside the script: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def add(self, *words):
        self.file.write(f"{self.now():9.3f} " + " ".join(str(word) for word in words) + "\n")
        self.file.flush()


def free_port(hosts):
    """A port that is free on all hosts."""
    for _ in range(200):
        with socket.socket() as probe:
            probe.bind((hosts[0], 0))
            port = probe.getsockname()[1]
        try:
            for host in hosts:
                with socket.socket() as probe:
                    probe.bind((host, port))
            return port
        except OSError:
            continue
    raise NotRun("no free port")


class Store:
    """The platform's metadata store: objects with revisions, conditional changes, lists, watches."""

    PAGE = 500
    ANSWER_S = 0.004

    def __init__(self, record):
        self.record = record
        self.rev = 100
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()

    async def start(self, host):
        self.server = await asyncio.start_server(self.serve, host, 0, limit=2**22)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    # Bodies are kept as bytes, so that an entry can hold what a foreign writer wrote.
    def encode(self, kind, name):
        meta, spec = self.objects[(kind, name)]
        return b'{"meta":' + json.dumps(meta).encode() + b',"spec":' + spec + b',"status":null}'

    def put(self, kind, name, spec):
        self.rev += 1
        known = self.objects.get((kind, name))
        meta = {"name": name, "rev": self.rev, "created": known[0]["created"] if known else self.rev,
                "finalizers": [], "delete_requested": False}
        self.objects[(kind, name)] = (meta, spec if isinstance(spec, bytes) else json.dumps(spec).encode())
        self.note(kind, name, False)
        return self.encode(kind, name)

    def delete(self, kind, name):
        if (kind, name) not in self.objects:
            return
        self.rev += 1
        self.objects[(kind, name)][0]["rev"] = self.rev
        self.note(kind, name, True)
        del self.objects[(kind, name)]

    def note(self, kind, name, deleted):
        text = b'{"object":' + self.encode(kind, name) + b',"deleted":' + (b"true" if deleted else b"false") + b"}"
        self.events.append((self.rev, kind, text))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while line := await reader.readline():
                method, target, _ = line.decode().split(" ", 2)
                length = 0
                while header := (await reader.readline()).decode().strip():
                    if header.lower().startswith("content-length:"):
                        length = int(header.split(":")[1])
                body = json.loads(await reader.readexactly(length)) if length else {}
                await asyncio.sleep(self.ANSWER_S)
                status, answer = await self.handle(method, target, body)
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(answer)) + answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, body):
        path, _, query = target.partition("?")
        query = {key: values[0] for key, values in urllib.parse.parse_qs(query).items()}
        kind, _, name = path.removeprefix("/api/objects/").partition("/")
        name = urllib.parse.unquote(name)
        if method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)) / 1000)
        if method == "GET" and not name:
            names = sorted(n for k, n in self.objects if k == kind and n > query.get("after", ""))
            items = b",".join(self.encode(kind, n) for n in names[:self.PAGE])
            more = b"true" if len(names) > self.PAGE else b"false"
            return 200, b'{"items":[' + items + b'],"has_more":' + more + b',"at_rev":%d}' % self.rev
        if method == "POST":
            name = body["meta"]["name"]
            if (kind, name) in self.objects:
                return 409, self.encode(kind, name)
            return 201, self.put(kind, name, body["spec"])
        if (kind, name) not in self.objects:
            return 404, b"{}"
        expected = query.get("rev") or body.get("meta", {}).get("rev")
        if expected is not None and int(expected) != self.objects[(kind, name)][0]["rev"]:
            return 409, self.encode(kind, name)
        if method == "PUT":
            if json.dumps(body["spec"]).encode() == self.objects[(kind, name)][1]:
                return 200, self.encode(kind, name)
            return 200, self.put(kind, name, body["spec"])
        if method == "DELETE":
            text = self.encode(kind, name)
            self.delete(kind, name)
            return 200, text
        return 200, self.encode(kind, name)

    async def watch(self, kind, since, wait):
        deadline = time.monotonic() + wait
        while True:
            news = [text for rev, other, text in self.events if rev > since and other == kind]
            left = deadline - time.monotonic()
            if news or left <= 0:
                return 200, b'{"events":[' + b",".join(news) + b'],"at_rev":%d}' % self.rev
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Backend:
    """One backend of a service: its log, its connections, its report to the store."""

    WORK_S = 0.003
    MAX_CONNS = 28

    def __init__(self, service, name, zone):
        self.service = service
        self.record = service.record
        self.name = name
        self.zone = zone
        self.log = []  # of (term, number, id, item, data)
        self.term = 1
        self.primary = False
        self.state = "ready"
        self.running = False
        self.deaf = False  # receives nothing from the primary
        self.reports = 0
        self.born = int(time.time() * 1000)
        self.signatures = 0
        self.writers = set()
        self.tasks = []

    async def start(self, host, port=0):
        self.server = await asyncio.start_server(self.serve, host, port, limit=2**22)
        self.host, self.port = self.server.sockets[0].getsockname()[:2]
        self.running = True
        self.report()
        self.tasks = [asyncio.ensure_future(self.beat()), asyncio.ensure_future(self.follow())]

    def report(self):
        self.reports += 1
        self.service.store.put("servers", self.name, {
            "service": self.service.name, "address": f"{self.host}:{self.port}", "zone": self.zone, "version": "v1",
            "slots": 2, "state": self.state, "cold_left_ms": 0, "born": self.born, "sequence": self.reports,
            "target_role": "primary" if self.primary else "replica"})
        self.last_beat = time.monotonic()

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.report()

    def drain(self):
        self.state = "draining"
        self.report()
        self.record.add("store confirms:", self.name, "is draining")

    def crash(self):
        self.record.add("backend", self.name, "crashes")
        self.running = False
        for task in self.tasks:
            task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        asyncio.get_running_loop().call_later(3 * HEARTBEAT_S, self.expire)

    def expire(self):
        if not self.running:
            self.service.store.delete("servers", self.name)

    def position(self):
        return f"{self.log[-1][0]}.{self.log[-1][1]}" if self.log else "-"

    def end(self):
        return (self.log[-1][0], self.log[-1][1]) if self.log else (0, 0)

    async def follow(self):
        """Receives the primary's log; an old primary steps down a second after it can reach the new one."""
        reached = None
        while True:
            await asyncio.sleep(0.002)
            leader = max((other for other in self.service.backends if other.running and other.primary),
                         key=lambda other: other.term, default=None)
            if leader is None or leader is self or self.deaf or leader.term < self.term:
                reached = None
                continue
            if self.primary:
                reached = reached or time.monotonic()
                if time.monotonic() - reached < 1:
                    continue
                self.set_role(False)
            self.term = leader.term
            common = 0
            while common < min(len(self.log), len(leader.log)) and self.log[common][:3] == leader.log[common][:3]:
                common += 1
            self.log = leader.log[:]

    def set_role(self, primary):
        if primary != self.primary:
            self.primary = primary
            self.record.add("backend", self.name, "is", "primary" if primary else "replica", "in term", self.term,
                            "its log ends at", self.position())
            self.report()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        session = {"values": {}, "prepared": {}, "tx": None}
        try:
            start = (await reader.readuntil(b"\r\n"))[:-2].decode().split(" ")
            if start[0] != "START" or start[1] != self.service.name or (len(start) > 3 and start[3] != self.name):
                writer.write(b"ERR MISROUTED -\r\n")
                return
            if len(self.writers) > self.MAX_CONNS:
                writer.write(b"ERR TOOMANY -\r\n")
                return
            writer.write(f"READY I {self.position()}\r\n".encode())
            while True:
                # A line ends with CR LF; the last field extends to the end of the line.
                line = (await reader.readuntil(b"\r\n"))[:-2].decode()
                if line == "BYE":
                    return
                _, identity, text = line.split(" ", 2)
                answer = await self.run(session, identity, text)
                state = {None: "I", "E": "E"}.get(session["tx"] if not isinstance(session["tx"], dict) else 0, "T")
                writer.write(answer.encode() + f"READY {state} {self.position()}\r\n".encode())
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def sign(self):
        self.signatures += 1
        return f"{self.name}.{self.signatures}"

    async def run(self, session, identity, text):
        full = text
        needed = None
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            needed = tuple(int(part) for part in position.split("."))
            full = text
        word, _, rest = text.partition(" ")
        tx = session["tx"]
        if word in ("STATUS", "STEPDOWN"):
            if word == "STEPDOWN" and self.primary and int(rest) > self.term:
                self.set_role(False)
            role = "primary" if self.primary else "replica"
            return f"ROW {role} {self.term} {self.position()} {self.term} 0 0 {len(self.writers)}\r\nDONE -\r\n"
        if word == "RESET":
            session["values"], session["prepared"] = {}, {}
            return "DONE -\r\n"
        if word == "ROLLBACK":
            session["tx"] = None
            return "DONE -\r\n"
        if tx == "E":
            return "ERR MALFORMED the transaction failed\r\n"
        if word == "SET":
            name, _, value = rest.partition(" ")
            session["values"][name] = value
            return "DONE -\r\n"
        if word == "PREPARE":
            name, _, shape = rest.partition(" ")
            session["prepared"][name] = shape
            return "DONE -\r\n"
        if word == "DEALLOC":
            session["prepared"].pop(rest, None)
            return "DONE -\r\n"

        def fail(code):
            if session["tx"] is not None:
                session["tx"] = "E"
            return f"ERR {code} {self.name}\r\n"

        if needed and needed > self.end():
            return fail("LAGGING")
        if word == "BEGIN":
            if rest != "READ" and not self.primary:
                return f"ERR READONLY {self.name}\r\n"
            session["tx"] = {"writes": [], "plain": rest != "READ"}
            return "DONE -\r\n"
        if word == "EXEC":
            name, _, arguments = rest.partition(" ")
            if name not in session["prepared"]:
                return fail("NOSTMT")
            word, rest = session["prepared"][name].split(" ")[0], arguments
        await asyncio.sleep(self.WORK_S)
        if not self.running:
            raise ConnectionError
        if word == "COMMIT":
            session["tx"] = None
            if not tx or not tx["writes"]:
                self.record.add("run", self.name, identity, repr(full))
                return f"DONE {self.sign()}\r\n"
            if not self.primary:
                return f"ERR READONLY {self.name}\r\n"
            return await self.commit(identity, full, tx["writes"])
        if (word == "WRITE" or (tx and tx["plain"])) and not self.primary:
            return fail("READONLY")
        if word == "READ":
            self.record.add("run", self.name, identity, repr(full), "log at", self.position())
            rows = [entry[4] for entry in self.log if entry[3] == rest][-1:]
            self.service.reads.append((time.monotonic(), self, identity, list(self.log)))
            return "".join(f"ROW {row}\r\n" for row in rows) + f"DONE {self.sign()}\r\n"
        if word == "WRITE":
            item, _, data = rest.partition(" ")
            if tx:
                self.record.add("run", self.name, identity, repr(full), "in a transaction")
                tx["writes"].append((identity, item, data))
                return f"DONE {self.sign()}\r\n"
            return await self.commit(identity, full, [(identity, item, data)])
        return fail("MALFORMED")

    async def commit(self, identity, text, writes):
        number = (self.log[-1][1] if self.log else 0) + 1
        self.log = self.log + [(self.term, number, *writes[0])] if len(writes) == 1 else self.log + [
            (self.term, number, identity, item, data) for _, item, data in writes]
        end = self.end()
        self.record.add("run", self.name, identity, repr(text), "commit", f"{end[0]}.{end[1]}")
        self.service.runs.append((time.monotonic(), self, identity, text))
        # With sync_replicas the commit is acknowledged once one replica has received it.
        while self.service.sync and not any(
                other is not self and other.running and other.end() >= end and other.term == self.term
                for other in self.service.backends):
            await asyncio.sleep(0.001)
            if not self.running or not self.primary:
                raise ConnectionError
        return f"DONE {self.sign()}\r\n"


class Service:
    """A service: its backends, one of them the primary."""

    def __init__(self, record, store, name, sync=0):
        self.record = record
        self.store = store
        self.name = name
        self.sync = sync
        self.backends = []
        self.runs = []  # commits: (time, backend, id, text)
        self.reads = []  # (time, backend, id, log)

    async def add(self, name, zone, primary=False, host=None):
        backend = Backend(self, name, zone)
        backend.primary = primary
        self.backends.append(backend)
        await backend.start(host or f"127.0.2.{len(self.backends)}")
        return backend

    def leader(self):
        return max((backend for backend in self.backends if backend.running and backend.primary),
                   key=lambda backend: backend.term, default=None)


class Cloud:
    """POST /promotion: the named backend leads the next term some hundred ms after the call."""

    EFFECT_S = 0.3

    def __init__(self, record, services):
        self.record = record
        self.services = services
        self.promotions = []  # (time, service, id, holder, token, its log)

    async def start(self, host):
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            headers = {key.lower(): value for key, _, value in
                       (line.partition(": ") for line in head.split("\r\n")[1:] if line)}
            body = json.loads(await reader.readexactly(int(headers["content-length"])))
            service = next((s for s in self.services if s.name == body["service"]), None)
            backend = next((b for b in service.backends if b.name == body["id"]), None) if service else None
            status = 200 if backend and backend.running else 409
            self.record.add("promotion ordered by", headers["x-lease-holder"], "token", headers["x-fencing-token"],
                            "of", body["id"], "answer", status)
            if status == 200 and not backend.primary:
                asyncio.get_running_loop().call_later(self.EFFECT_S, self.take_effect, service, backend, headers)
            writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}" % status)
            await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def take_effect(self, service, backend, headers):
        if not backend.running or backend.primary:
            return
        self.promotions.append((time.monotonic(), service, backend, headers["x-lease-holder"],
                                int(headers["x-fencing-token"]), list(backend.log)))
        backend.term = max(other.term for other in service.backends) + 1
        backend.set_role(True)


class Node:
    """One machine of the system with the project's program, started with the command of the deploy file."""

    def __init__(self, world, number, zone):
        self.world = world
        self.name = f"front-{zone}-{number}"
        self.zone = zone
        self.ip = f"127.0.1.{number}"
        self.process = None

    def settings(self):
        world = self.world
        lines = [f'node_name = "{self.name}"', 'role = "gateway"', 'machine_class = "front"',
                 'serves = ["front","control"]', f'ip = "{self.ip}"', f'zone = "{self.zone}"',
                 f'region = "{ZONES[self.zone]}"', f"internal_ports = [{world.ports[3]},{world.ports[3]}]",
                 "seeds = [" + ",".join(f'"{node.ip}:{world.ports[2]}"' for node in world.nodes[:3]) + "]",
                 "bootstrap = true", 'discovery = "platform"', 'entry = "vip"', "heartbeat_ms = 1200",
                 'contracts = ["base","drain","config","cost","recover","sql","platform"]', "[zones]"]
        lines += [f'{zone} = "{region}"' for zone, region in ZONES.items()]
        lines += ["[listen]"] + [f'{use} = "{self.ip}:{port}"'
                                 for use, port in zip(("front", "ready", "control"), world.ports)]
        lines += ["[limits]", "cpu_share = 0.25", "cores = 1", "memory_mb = 260", "max_fds = 4300",
                  "[fault_tolerance]", "machines = 2", "zones = 0", "regions = 0", "[bounds]"]
        lines += [f"{key} = {str(value).lower()}" for key, value in BOUNDS.items()]
        lines += ["[platform]", f'address = "{world.store.address}"', 'form = "objects"', "writes_per_s = 400",
                  "reads_per_s = 2000", "history_s = 20", "value_bytes = 1048576", "min_ttl_ms = 1000", "[cloud]",
                  f'address = "{world.cloud.address}"', "rate_per_s = 50.0", 'duties = ["promotion"]',
                  "duty_per_s = 50.0", ""]
        return "\n".join(lines)

    async def start(self):
        path = os.path.join(self.world.folder, self.name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["gateway"]["run"].split(" ")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["PISTACHIOWOOD_CONFIG"] = path
        with open(os.path.join(self.world.folder, self.name + ".log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        self.world.record.add("node", self.name, "starts")

    async def ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.world.ports[1])
            try:
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: node\r\n\r\n")
                return b" 200 " in await asyncio.wait_for(reader.readline(), 1)
            finally:
                writer.close()
        except (ConnectionError, asyncio.TimeoutError):
            return False

    async def kill(self):
        if self.process and self.process.returncode is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()


class World:
    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(self.record)
        self.services = []
        self.cloud = Cloud(self.record, self.services)
        self.nodes = [Node(self, number + 1, zone) for number, zone in enumerate(list(ZONES) * 2)]
        self.version = 0
        self.statements = 0

    async def __aenter__(self):
        if not os.path.exists(os.path.join(ROOT, "target", "bin", "pistachiowood-platform")):
            raise NotRun("target/bin/pistachiowood-platform is not built")
        await self.store.start("127.0.3.1")
        await self.cloud.start("127.0.3.2")
        hosts = [node.ip for node in self.nodes]
        self.ports = []
        while len(self.ports) < 4:
            port = free_port(hosts)
            if port not in self.ports:
                self.ports.append(port)
        return self

    async def __aexit__(self, *_):
        await asyncio.gather(*(node.kill() for node in self.nodes))
        shutil.rmtree(self.folder, ignore_errors=True)

    def service(self, name, sync=0):
        service = Service(self.record, self.store, name, sync)
        self.services.append(service)
        return service

    def configure(self, routes):
        """The operator writes the next version; routes: (database, service, kind)."""
        self.version += 7
        self.store.put("config", "main", {
            "version": self.version,
            "routes": [{"name": f"r-{database}", "db_name": database, "path_prefix": "/", "kind": kind,
                        "timeout_ms": 1000, "target_latency_ms": 500, "priority": 1, "service": service,
                        "max_attempts": 2, "max_staleness_ms": 1500} for database, service, kind in routes],
            "services": [{"name": service.name, "max_conns": Backend.MAX_CONNS, "sync_replicas": service.sync}
                         for service in self.services],
            "limits": {"tx_idle_ms": 3000}})

    async def start_nodes(self):
        for node in self.nodes:
            await node.start()
        deadline = time.monotonic() + 20
        for node in self.nodes:
            while not await node.ready():
                if time.monotonic() > deadline:
                    raise NotRun(f"{node.name} is not ready")
                await asyncio.sleep(0.1)

    def next_id(self):
        self.statements += 1
        return f"{self.statements:016x}"

    async def until(self, condition, limit_s, what):
        deadline = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > deadline:
                raise NotRun(f"{what}: not within {limit_s} s")
            await asyncio.sleep(0.02)


class Session:
    """One session of a client at one node."""

    def __init__(self, world, node):
        self.world = world
        self.node = node

    async def open(self, database):
        self.reader, self.writer = await asyncio.open_connection(self.node.ip, self.world.ports[0], limit=2**22)
        self.writer.write(f"START {database} u1\r\n".encode())
        line = await asyncio.wait_for(self.line(), 2)
        if not line.startswith("READY"):
            self.close()
            raise ConnectionError(line)
        return self

    async def line(self):
        return (await self.reader.readuntil(b"\r\n"))[:-2].decode()

    async def ask(self, text, limit_s=3, identity=None, quiet=False):
        """Sends a statement; returns (code or None, rows, signature)."""
        identity = identity or self.world.next_id()
        if not quiet:
            self.world.record.add("sent", identity, repr(text), "to", self.node.name)
        self.writer.write(f"QUERY {identity} {text}\r\n".encode())
        rows, result = [], None
        try:
            while True:
                line = await asyncio.wait_for(self.line(), limit_s)
                word, _, rest = line.partition(" ")
                if word == "ROW":
                    rows.append(rest)
                elif word == "DONE":
                    result = (None, rows, rest)
                elif word == "ERR":
                    result = (rest.split(" ")[0], [], "")
                    if not quiet:
                        self.world.record.add("answered", identity, line)
                elif word == "READY":
                    break
        except asyncio.TimeoutError:
            self.world.record.add("no answer to", identity)
            raise
        if not quiet and result and result[0] is None:
            self.world.record.add("answered", identity, "DONE", result[2], *(["rows"] + rows if rows else []))
        return result

    def close(self):
        self.writer.close()


def main(folder, case):
    """Runs the case; exits with 1 if it returns a broken rule, 0 if the rule held, 2 if the case could not run."""
    async def run():
        async with World(folder) as world:
            broken = await asyncio.wait_for(case(world), 110)
            world.record.add("RULE BROKEN:" if broken else "the rule held", broken or "")
            print("RULE BROKEN: " + broken if broken else "the rule held")
            return BROKEN if broken else HELD

    async def run_and_exit():
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            code = await run()
        except (Exception, asyncio.CancelledError) as error:
            print("the case could not run:", repr(error))
            code = NOT_RUN
        sys.stdout.flush()
        os._exit(code)  # the nodes have ended; open connections of the stand-ins end with this process

    asyncio.run(run_and_exit())
