"""Small stand-ins for the users' platform, its database backends and their clients, on loopback addresses.

They follow PROTOCOL.md and DEPLOY.md. Everything runs in one event loop; the system's own processes are started with
the command of deploy/system.toml.
"""

import asyncio
import bisect
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import zlib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def free_ports(count, host="127.0.0.1"):
    sockets = [socket.socket() for _ in range(count)]
    for entry in sockets:
        entry.bind((host, 0))
    ports = [entry.getsockname()[1] for entry in sockets]
    for entry in sockets:
        entry.close()
    return ports


class Record:
    """Lines with the time since the start, in record.txt of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def add(self, text):
        self.file.write(f"{self.now():9.4f} {text}\n")

    def say(self, text):
        self.add(text)
        print(f"{self.now():7.2f} s  {text}", flush=True)

    def close(self):
        self.file.close()


async def read_request(reader):
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode().split(" ", 2)
    headers = {}
    while text := (await reader.readline()).decode().strip():
        key, _, value = text.partition(":")
        headers[key.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = json.loads(await reader.readexactly(length)) if length else {}
    return method, target, headers, body


def answer_bytes(status, body):
    text = json.dumps(body).encode()
    return (b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(text))) + text


class Link:
    """A path between two parts; while it is cut, nothing passes, and what was sent waits."""

    def __init__(self):
        self.open_way = asyncio.Event()
        self.open_way.set()

    def cut(self, is_cut):
        (self.open_way.clear if is_cut else self.open_way.set)()

    async def passed(self):
        await self.open_way.wait()


class Store:
    """The platform's metadata store: objects by kind and name, one revision counter, watches, conditional changes."""

    ANSWER_S = 0.004

    def __init__(self):
        self.rev = 100
        self.objects = {}
        self.events = []
        self.news = asyncio.Condition()

    def put(self, kind, name, spec, finalizers=()):
        known = self.objects.get((kind, name))
        if known and known["spec"] == spec:
            return known
        self.rev += 1
        item = {"meta": {"name": name, "rev": self.rev, "created": known["meta"]["created"] if known else 1,
                         "finalizers": list(finalizers), "delete_requested": False}, "spec": spec, "status": None}
        self.objects[(kind, name)] = item
        self._note(kind, item, False)
        return item

    def delete(self, kind, name):
        item = self.objects.pop((kind, name))
        self.rev += 1
        item = {**item, "meta": {**item["meta"], "rev": self.rev}}
        self._note(kind, item, True)
        return item

    def _note(self, kind, item, deleted):
        self.events.append((self.rev, kind, {"object": item, "deleted": deleted}))
        asyncio.ensure_future(self._notify())

    async def _notify(self):
        async with self.news:
            self.news.notify_all()

    async def listen(self, host, rewrites=(), link=None):
        """Opens one more address of the store; `rewrites` replaces addresses in its answers, as a relay would."""
        server = await asyncio.start_server(lambda r, w: self._serve(r, w, dict(rewrites), link or Link()), host, 0)
        return server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer, rewrites, link):
        try:
            while request := await read_request(reader):
                await link.passed()
                await asyncio.sleep(self.ANSWER_S / 2)
                answer = answer_bytes(*await self._handle(*request))
                for old, new in rewrites.items():
                    if old.encode() in answer:
                        head, _, text = answer.partition(b"\r\n\r\n")
                        answer = answer_bytes(int(head.split()[1]), json.loads(text.replace(old.encode(), new.encode())))
                await asyncio.sleep(self.ANSWER_S / 2)
                await link.passed()
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _handle(self, method, target, _, body):
        path, _, query = target.partition("?")
        parameters = dict(part.split("=") for part in query.split("&") if part)
        kind, _, name = path.removeprefix("/api/objects/").partition("/")
        known = self.objects.get((kind, name))
        if method == "GET" and "watch" in parameters:
            return 200, await self._watch(kind, int(parameters["watch"]), int(parameters.get("wait_ms", 0)) / 1000)
        if method == "GET" and not name:
            items = [item for (other, _), item in sorted(self.objects.items()) if other == kind]
            return 200, {"items": items, "has_more": False, "at_rev": self.rev}
        if method == "GET":
            return (200, known) if known else (404, {})
        if method == "POST":
            name = body["meta"]["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[(kind, name)]
            return 201, self.put(kind, name, body["spec"], body["meta"].get("finalizers", ()))
        if not known:
            return 404, {}
        expected = parameters.get("rev", body.get("meta", {}).get("rev") if body else None)
        if expected is not None and int(expected) != known["meta"]["rev"]:
            return 409, known
        if method == "DELETE":
            return 200, self.delete(kind, name)
        return 200, self.put(kind, name, body["spec"], body["meta"].get("finalizers", ()))

    async def _watch(self, kind, since, wait):
        def news():
            first = bisect.bisect_right(self.events, since, key=lambda event: event[0])
            return [event for _, other, event in self.events[first:] if other == kind]
        deadline = time.monotonic() + wait
        while not news() and (left := deadline - time.monotonic()) > 0:
            try:
                async with self.news:
                    await asyncio.wait_for(self.news.wait(), left)
            except asyncio.TimeoutError:
                break
        return {"events": news(), "at_rev": self.rev}


class Commit:
    def __init__(self, term, number, statements):
        self.term = term
        self.number = number
        self.statements = statements  # of (id, item, data)


class Backend:
    """One database backend. A replica receives a commit at once and applies it `lag_s` later."""

    def __init__(self, service, identity, zone):
        self.service = service
        self.identity = identity
        self.zone = zone
        self.log = []  # received commits
        self.applied = 0  # of them
        self.term = 1
        self.primary = False
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.connections = 0
        self.slots = asyncio.Semaphore(service.slots)

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=2**21)
        self.port = self.server.sockets[0].getsockname()[1]
        asyncio.ensure_future(self._beat())

    async def _beat(self):
        while True:
            if self.identity not in self.service.isolated:
                self.report()
            await asyncio.sleep(1.2)

    def report(self):
        self.sequence += 1
        self.service.store.put("servers", self.identity, {
            "service": self.service.name, "address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "v1",
            "slots": self.service.slots, "state": self.state, "cold_left_ms": 0, "sequence": self.sequence,
            "target_role": "primary" if self.primary else "replica", "born": self.born})

    @staticmethod
    def _text(commit):
        return f"{commit.term}.{commit.number}" if commit else "1.0"

    def position(self):
        return self._text(self.log[self.applied - 1] if self.applied else None)

    def received(self):
        return self._text(self.log[-1] if self.log else None)

    def commit(self, statements):
        number = self.log[-1].number + 1 if self.log else 1
        entry = Commit(self.term, number, statements)
        self.log.append(entry)
        self.applied = len(self.log)
        asyncio.get_running_loop().call_later(0.003, self.service.replicate, self, entry)
        return entry

    def receive(self, entry):
        self.log.append(entry)
        asyncio.get_running_loop().call_later(self.service.lag_s, self._apply, entry)

    def _apply(self, entry):
        for index in range(self.applied, len(self.log)):
            if self.log[index] is entry:
                self.applied = index + 1
                return

    async def _serve(self, reader, writer):
        session = {"state": "I", "writes": None, "wrote": False, "read_only": False, "prepared": {}}
        self.connections += 1
        try:
            start = (await reader.readline()).decode().split()
            if len(start) < 2 or start[0] != "START":
                return
            if start[1] != self.service.name or (len(start) > 3 and start[3] != self.identity):
                writer.write(b"ERR MISROUTED -\r\n")
                return
            if self.connections > self.service.max_conns:
                writer.write(b"ERR TOOMANY -\r\n")
                return
            writer.write(f"READY I {self.position()}\r\n".encode())
            while line := (await reader.readline()).decode().rstrip("\r\n"):
                _, identity, text = line.split(" ", 2)
                result = await self._run(session, identity, text)
                writer.write((result + f"READY {session['state']} {self.position()}\r\n").encode())
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.connections -= 1
            writer.close()

    def _fail(self, session, code):
        if session["state"] == "T":
            session["state"] = "E"
        return f"ERR {code} {self.identity}\r\n"

    async def _run(self, session, identity, text):
        after = None
        if text.startswith("AFTER "):
            _, after, text = text.split(" ", 2)
        word, _, rest = text.partition(" ")
        if word == "EXEC":
            name, _, rest = rest.partition(" ")
            if name not in session["prepared"]:
                return self._fail(session, "NOSTMT")
            word = session["prepared"][name]
        if after is not None:
            needed = tuple(int(part) for part in after.split("."))
            if needed > tuple(int(part) for part in self.position().split(".")):
                return self._fail(session, "LAGGING")
        if word in ("READ", "WRITE", "COMMIT"):
            self.service.arrivals[identity] = self.service.record.now()
            async with self.slots:
                await asyncio.sleep(self.service.work_s)
                return self._data(session, identity, word, rest)
        return self._control(session, word, rest)

    def _control(self, session, word, rest):
        if word == "STATUS" or word == "STEPDOWN":
            if word == "STEPDOWN" and self.primary and int(rest) > self.term:
                self.primary, self.term = False, int(rest)
                self.service.record.add(f"backend {self.identity} steps down with term {rest}")
                self.report()
            role = "primary" if self.primary else "replica"
            return f"ROW {role} {self.term} {self.received()} 0 0 0 {self.connections}\r\nDONE -\r\n"
        if word == "BEGIN":
            if rest != "READ" and not self.primary:
                return self._fail(session, "READONLY")
            session.update(state="T", writes=[], wrote=False, read_only=rest == "READ")
        elif word == "ROLLBACK":
            session.update(state="I", writes=None)
        elif word == "PREPARE":
            name, kind, _ = rest.split(" ", 2)
            session["prepared"][name] = kind
        elif word == "RESET":
            session["prepared"] = {}
        return "DONE -\r\n"

    def _data(self, session, identity, word, rest):
        in_transaction = session["state"] == "T"
        if session["state"] == "E":
            return self._fail(session, "FAILED")
        plain = in_transaction and not session["read_only"]
        if not self.primary and (word == "WRITE" or (plain and not (word == "COMMIT" and not session["writes"]))):
            return self._fail(session, "READONLY")
        self.service.note_run(self, identity, word, in_transaction)
        if word == "READ":
            rows = [data for entry in self.log[:self.applied] for _, item, data in entry.statements if item == rest]
            return "".join(f"ROW {row}\r\n" for row in rows[-1:]) + f"DONE {self.service.sign()}\r\n"
        if word == "WRITE":
            item, _, data = rest.partition(" ")
            if in_transaction:
                session["writes"].append((identity, item, data))
            else:
                self.service.note_commit(self, identity, self.commit([(identity, item, data)]))
            return f"DONE {self.service.sign()}\r\n"
        if not in_transaction:
            return self._fail(session, "MALFORMED")
        if session["writes"]:
            self.service.note_commit(self, identity, self.commit(session["writes"]))
        session.update(state="I", writes=None)
        return f"DONE {self.service.sign()}\r\n"


class Service:
    """One primary and its replicas, and the platform's call that promotes."""

    def __init__(self, store, record, name, slots=5, max_conns=32, work_s=0.003, lag_s=0.06, promote_s=0.3):
        self.store = store
        self.record = record
        self.name = name
        self.slots = slots
        self.max_conns = max_conns
        self.work_s = work_s
        self.lag_s = lag_s
        self.promote_s = promote_s
        self.backends = {}
        self.isolated = set()  # backends that the others and the platform do not reach
        self.runs = {}  # id -> list of (time, backend, word, in transaction, numbers applied)
        self.commits = {}  # id of the write or COMMIT -> (time, backend, term, number)
        self.arrivals = {}  # id -> time at which a backend received the statement
        self.signatures = 0

    def sign(self):
        self.signatures += 1
        return f"sig-{self.signatures}"

    def note_run(self, backend, identity, word, in_transaction):
        self.runs.setdefault(identity, []).append(
            (self.record.now(), backend.identity, word, in_transaction, backend.position()))
        self.record.add(f"backend {backend.identity} runs {word} {identity} "
                        f"{'in a transaction' if in_transaction else 'outside a transaction'} at {backend.position()}")

    def note_commit(self, backend, identity, entry):
        self.commits[identity] = (self.record.now(), backend.identity, entry.term, entry.number)
        self.record.add(f"backend {backend.identity} commits {identity} as {entry.term}.{entry.number}")

    async def add(self, identity, zone, primary=False):
        backend = Backend(self, identity, zone)
        backend.primary = primary
        self.backends[identity] = backend
        await backend.start()
        return backend

    def replicate(self, source, entry):
        reached = [backend for backend in self.backends.values()
                   if (backend.identity in self.isolated) == (source.identity in self.isolated)]
        if source.term != max(backend.term for backend in reached):
            return
        for backend in reached:
            if backend is not source and len(backend.log) + 1 == source.log.index(entry) + 1:
                backend.receive(entry)

    async def promote(self, identity):
        chosen = self.backends.get(identity)
        if not chosen or identity in self.isolated:
            return 409
        if chosen.primary:
            return 200
        await asyncio.sleep(self.promote_s)
        term = max(backend.term for backend in self.backends.values()) + 1
        reached = [backend for backend in self.backends.values() if backend.identity not in self.isolated]
        for backend in reached:
            backend.term = term
            backend.primary = backend is chosen
            del backend.log[len(chosen.log):]
            backend.applied = min(backend.applied, len(backend.log))
        chosen.applied = len(chosen.log)
        self.record.say(f"platform: {identity} leads term {term}")
        for backend in reached:
            backend.report()
        return 200


class Cloud:
    """POST /promotion of the platform."""

    def __init__(self, record, services):
        self.record = record
        self.services = services

    async def listen(self, host, link=None):
        server = await asyncio.start_server(lambda r, w: self._serve(r, w, link or Link()), host, 0)
        return server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer, link):
        try:
            while request := await read_request(reader):
                await link.passed()
                _, _, headers, body = request
                self.record.say(f"platform: POST /promotion {body} by {headers.get('x-lease-holder')} "
                                f"with token {headers.get('x-fencing-token')}")
                status = await self.services[body["service"]].promote(body["id"])
                writer.write(answer_bytes(status, {}))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Relay:
    """Forwards connections. What is sent over a link that is cut waits and is delivered later."""

    def __init__(self, target_port, forward=None, backward=None):
        self.target_port = target_port
        self.forward = forward or Link()
        self.backward = backward or Link()

    async def listen(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    async def _serve(self, reader, writer):
        try:
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self._copy(reader, target_writer, self.forward),
                             self._copy(target_reader, writer, self.backward))

    @staticmethod
    async def _copy(reader, writer, link):
        try:
            while data := await reader.read(65536):
                await link.passed()
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()


class Daemon:
    """One process of the system, started with the command of the deploy file."""

    def __init__(self, folder, record, name, zone, host, ports, settings):
        self.record = record
        self.name = name
        self.host = host
        self.ports = ports
        self.process = None
        self.log = os.path.join(folder, f"{name}.log")
        self.settings_path = os.path.join(folder, f"{name}.toml")
        with open(self.settings_path, "w", encoding="utf-8") as file:
            file.write(settings(name, zone, host, ports))

    def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["gateway"]["run"].split()
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["PISTACHIOWOOD_CONFIG"] = self.settings_path
        self.record.say(f"start {self.name}")
        self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=open(self.log, "ab"),
                                        stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)

    def send(self, number):
        self.record.say(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    async def ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ports["ready"])
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Entry:
    """The platform's entry for one zone: probes each machine once a second and chooses one for a new connection.

    After two misses a machine receives no new connections until it answers 200 again; if fewer than half of the zone's
    machines are in rotation, all of them are used.
    """

    def __init__(self, record, daemons):
        self.record = record
        self.daemons = daemons
        self.misses = {daemon.name: 0 for daemon in daemons}
        self.tasks = [asyncio.ensure_future(self._probe(daemon)) for daemon in daemons]

    async def _probe(self, daemon):
        while True:
            ready = await daemon.ready()
            misses = 0 if ready else self.misses[daemon.name] + 1
            if (misses >= 2) != (self.misses[daemon.name] >= 2):
                self.record.say(f"entry: {daemon.name} is {'out of' if misses >= 2 else 'in'} rotation")
            self.misses[daemon.name] = misses
            await asyncio.sleep(1)

    def choose(self, client):
        """Selects by a hash of the client."""
        rotation = [daemon for daemon in self.daemons if self.misses[daemon.name] < 2]
        if 2 * len(rotation) < len(self.daemons):
            rotation = self.daemons
        return rotation[zlib.crc32(client.encode()) % len(rotation)]


class Deployment:
    """A small deployment: store, promotion call, services and daemons, with the bounds of ktw-cutlists."""

    def __init__(self, folder, zones):
        self.folder = folder
        self.temporary = tempfile.TemporaryDirectory()
        self.record = Record(folder)
        self.store = Store()
        self.services = {}
        self.cloud = Cloud(self.record, self.services)
        self.zones = zones  # name -> region
        self.daemons = {}
        self.ports = None

    def add_service(self, name, **options):
        self.services[name] = Service(self.store, self.record, name, **options)
        return self.services[name]

    def configure(self, version, routes, max_conns=32, tx_idle_ms=5000):
        self.store.put("config", "main", {
            "version": version, "routes": routes,
            "services": [{"name": name, "max_conns": max_conns, "sync_replicas": 0} for name in self.services],
            "limits": {"tx_idle_ms": tx_idle_ms}})
        self.record.say(f"operator: version {version} with the routes {[route['db_name'] for route in routes]}")

    async def add_daemon(self, name, zone, host, rewrites=(), link=None):
        if self.ports is None:
            numbers = free_ports(5, host)
            self.ports = dict(zip(("front", "ready", "control", "internal", "last"), numbers))
        store_port = await self.store.listen("127.0.0.1", rewrites, link)
        cloud_port = await self.cloud.listen("127.0.0.1", link)

        def settings(vm, vm_zone, ip, ports):
            zones = "".join(f'{zone} = "{region}"\n' for zone, region in self.zones.items())
            return f"""node_name = "{vm}"
role = "gateway"
machine_class = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{vm_zone}"
region = "{self.zones[vm_zone]}"
internal_ports = [{ports["internal"]},{ports["internal"]}]
seeds = ["{ip}:{ports["control"]}"]
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","recover","sql","platform"]
[zones]
{zones}[listen]
front = "{ip}:{ports["front"]}"
ready = "{ip}:{ports["ready"]}"
control = "{ip}:{ports["control"]}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4300
link_mbps = 1000.0
disk_mb = 0
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
address = "127.0.0.1:{store_port}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
[cloud]
address = "127.0.0.1:{cloud_port}"
rate_per_s = 50.0
duties = ["promotion"]
duty_per_s = 50.0
"""
        daemon = Daemon(self.temporary.name, self.record, name, zone, host, self.ports, settings)
        self.daemons[name] = daemon
        return daemon

    async def wait_ready(self, limit_s=15):
        deadline = time.monotonic() + limit_s
        for daemon in self.daemons.values():
            while not await daemon.ready():
                if time.monotonic() > deadline or daemon.process.poll() is not None:
                    raise RuntimeError(f"{daemon.name} is not ready")
                await asyncio.sleep(0.1)
        self.record.say("all daemons are ready")

    def stop(self):
        for daemon in self.daemons.values():
            daemon.kill()
        if "KEEP_LOGS" in os.environ:
            for daemon in self.daemons.values():
                if os.path.exists(daemon.log):
                    with open(daemon.log, "rb") as source, open(
                            os.path.join(os.environ["KEEP_LOGS"], daemon.name + ".log"), "wb") as copy:
                        copy.write(source.read())
        self.record.close()
        self.temporary.cleanup()


class Closed(Exception):
    """The daemon closed the session."""


class Reply:
    def __init__(self, rows, code, text, state, position):
        self.rows = rows
        self.code = code  # of ERR; None for DONE
        self.text = text  # signature, or what follows the code
        self.state = state
        self.position = position


class Client:
    """One session of a client. Sends one request at a time."""

    count = 0

    def __init__(self, record):
        Client.count += 1
        self.record = record
        self.name = f"c{Client.count}"
        self.statements = 0
        self.sent = {}  # id -> time of the first byte

    async def open(self, host, port, database):
        self.reader, self.writer = await asyncio.open_connection(host, port)
        self.writer.write(f"START {database} {self.name}\r\n".encode())
        line = (await asyncio.wait_for(self.reader.readline(), 5)).decode()
        if not line.startswith("READY"):
            raise Closed(line)
        return self

    async def _send(self, message, piece, round_trip_s):
        """Sends a message; a large one in pieces, each of them a round trip after the one before."""
        for start in range(0, len(message), piece):
            if start > 0:
                await asyncio.sleep(round_trip_s)
            self.writer.write(message[start:start + piece])

    async def query(self, text, limit_s=10, piece=2**20, round_trip_s=0.006):
        self.statements += 1
        identity = f"{self.name}-{self.statements}"
        self.last = identity
        self.record.add(f"client {identity} sends {text[:60]}")
        self.sent[identity] = self.record.now()
        try:
            await self._send(f"QUERY {identity} {text}\r\n".encode(), piece, round_trip_s)
            rows, code, result = [], None, None
            while True:
                line = (await asyncio.wait_for(self.reader.readline(), limit_s)).decode().rstrip("\r\n")
                word, _, rest = line.partition(" ")
                if not word:
                    self.record.add(f"client {identity} is closed without an answer")
                    raise Closed(identity)
                if word == "ROW":
                    rows.append(rest)
                elif word == "DONE":
                    result = rest
                elif word == "ERR":
                    code, _, result = rest.partition(" ")
                elif word == "READY":
                    state, position = rest.split(" ")
                    break
        except (ConnectionError, asyncio.TimeoutError) as failure:
            self.record.add(f"client {identity} gets no answer: {failure!r}")
            raise Closed(identity) from failure
        self.record.add(f"client {identity} gets {'ERR ' + code if code else 'DONE'} {result}, READY {state}")
        return Reply(rows, code, result, state, position)

    def close(self):
        self.writer.close()


def run_case(case, folder):
    """Runs the coroutine function `case(deployment)`; exits with 0, 1 or 2 as the case says."""
    async def main():
        status = 2
        deployment = Deployment(folder, {"tbs-didube": "tbilisi", "tbs-gldani": "tbilisi", "kut-east": "kutaisi"})
        try:
            status = await asyncio.wait_for(case(deployment), 110)
        except Exception as failure:  # the case could not run
            deployment.record.say(f"the case could not run: {failure!r}")
        finally:
            deployment.stop()
        print({0: "the rule held", 1: "the rule was BROKEN", 2: "the case could not run"}[status], flush=True)
        os._exit(status)  # all processes have ended; the connections of the stand-ins go with this one

    asyncio.run(main())
