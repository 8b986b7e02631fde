"""One real daemon before clients that do not keep to the protocol's limits, one kind of client a test.

Each test guards against a daemon that ends, hangs, or exceeds the memory or the descriptors of its VM because of that
kind of client: the settings of the test lower `memory_mb` and `max_fds`, and both bounds come from them. Times are not
checked; waits only keep a hanging test from running for ever. Usage: client_limits_test.py BIN [TEST...]
"""

import asyncio
import contextlib
import resource
import socket
import tempfile
import unittest

from gateway_soak_test import Daemon
from platform_fakes import Group, Store
from restored_store_test import BIN, Deployment

MEMORY_MB = 48
MAX_FDS = 400
SYSTEM_FDS = 200  # descriptors of `max_fds` that belong to the system
FIRST_PORT = 17700
ATTACK_S = 3
ANSWER_S = 15  # after which an ordinary request counts as not answered
KIB = 1024
START = b"START ledger me\r\n"


class LimitedDaemon(Daemon):
    def __init__(self, *arguments):
        super().__init__(*arguments)
        with open(self.path, "a", encoding="utf-8") as file:
            file.write(f"[limits]\nmemory_mb = {MEMORY_MB}\nmax_fds = {MAX_FDS}\n")

    async def start(self):
        allowed = MAX_FDS - SYSTEM_FDS
        self.process = await asyncio.create_subprocess_exec(
            self.binary, "--config", self.path, stdout=self.log, stderr=self.log,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (allowed, allowed)))

    def peak_memory_kb(self):
        with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
            return next(int(line.split()[1]) for line in file if line.startswith("VmHWM"))


class LimitedDeployment(Deployment):
    async def start(self):
        self.version = 0
        self.store = Store()
        self.group = Group(self.store, "db")
        self.servers = [await asyncio.start_server(self.store.serve, "127.0.0.1", 0),
                        await asyncio.start_server(self.group.promote, "127.0.0.1", 0)]
        self.configure(["ledger"])
        await self.group.add("e0", primary=True)
        folder = tempfile.mkdtemp(prefix="pistachiowood-limits-")
        print("logs", folder, flush=True)
        ports = [server.sockets[0].getsockname()[1] for server in self.servers]
        self.daemons = [LimitedDaemon(BIN + "/pistachiowood-platform", folder, 0, *ports, FIRST_PORT)]
        await self.daemons[0].start()
        await self.all_serve("ledger", ANSWER_S)


class Client:
    """A connection whose answers are read only on request; what the daemon refuses or closes is not an error."""

    def __init__(self, port):
        self.port = port
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * KIB)  # answers stay in the daemon
        self.socket.setblocking(False)

    async def send(self, *pieces, pause_s=0.0):
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            if self.port:
                await loop.sock_connect(self.socket, ("127.0.0.1", self.port))
                self.port = None
            for piece in pieces:
                await loop.sock_sendall(self.socket, piece)
                await asyncio.sleep(pause_s)

    async def receive(self):
        with contextlib.suppress(OSError):
            while await asyncio.get_running_loop().sock_recv(self.socket, 64 * KIB):
                pass


class ClientLimits(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.deployment = LimitedDeployment()
        await self.deployment.start()
        self.daemon = self.deployment.daemons[0]
        self.clients = []

    async def asyncTearDown(self):
        for client in self.clients:
            client.socket.close()
        await self.deployment.stop()

    async def attack(self, count, *pieces, pause_s=0.0, reads=False, port=None):
        """This many clients send the pieces, until all are sent or the time is over; they stay connected."""
        clients = [Client(port or self.daemon.front) for _ in range(count)]
        self.clients += clients
        tasks = [asyncio.ensure_future(client.send(*pieces, pause_s=pause_s)) for client in clients]
        if reads:
            tasks += [asyncio.ensure_future(client.receive()) for client in clients]
        _, unfinished = await asyncio.wait(tasks, timeout=ATTACK_S)
        for task in unfinished:
            task.cancel()
        await asyncio.gather(*unfinished, return_exceptions=True)

    async def check(self):
        """The process is alive, within its memory and descriptors, and answers an ordinary request."""
        await self.deployment.all_serve("ledger", ANSWER_S)
        print("peak", self.daemon.peak_memory_kb() // KIB, "MiB of", MEMORY_MB, flush=True)
        self.assertIsNone(self.daemon.process.returncode)
        self.assertLess(self.daemon.peak_memory_kb(), MEMORY_MB * KIB)

    async def ready(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.daemon.front + 1)
        try:
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            return (await reader.readline()).startswith(b"HTTP/1.1 200")
        finally:
            writer.close()

    async def check_readiness(self):
        self.assertTrue(await asyncio.wait_for(self.ready(), ANSWER_S))

    async def test_half_sent_messages_in_one_piece(self):
        await self.attack(100, START + b"QUERY 1 WRITE x " + b"x" * 1000 * KIB)
        await self.check()

    async def test_half_sent_messages_in_small_pieces(self):
        await self.attack(100, START + b"QUERY 1 WRITE x ", *[b"x" * 20 * KIB] * 50, pause_s=0.02)
        await self.check()

    async def test_large_messages_sent_ahead(self):
        message = b"QUERY 1 WRITE x " + b"x" * 200 * KIB + b"\r\n"
        await self.attack(30, START, *[message] * 50)
        await self.check()

    async def test_messages_far_over_the_limit(self):
        await self.attack(20, START, *[b"x" * 256 * KIB] * 80)
        await self.check()

    async def test_slow_readers(self):
        writer = Client(self.daemon.front)
        self.clients.append(writer)
        await writer.send(START + b"QUERY 1 WRITE big " + b"x" * 900 * KIB + b"\r\n")
        await asyncio.sleep(0.5)
        await self.attack(60, START, *[b"QUERY 1 READ big\r\n"] * 10)
        await asyncio.sleep(ATTACK_S)
        await self.check()

    async def test_small_statements_sent_ahead(self):
        await self.attack(40, START, *[b"QUERY 1 READ x\r\n" * 1000] * 20)
        await self.check()

    async def test_large_session_variables(self):
        await self.attack(40, START, *[b"QUERY 1 SET v%d " % number + b"x" * 100 * KIB + b"\r\n"
                                       for number in range(30)], reads=True)
        await self.check()

    async def test_large_prepared_statements(self):
        await self.attack(40, START, *[b"QUERY 1 PREPARE p%d READ " % number + b"x" * 100 * KIB + b"\r\n"
                                       for number in range(30)], reads=True)
        await self.check()

    async def test_silent_connections(self):
        await self.attack(250, b"")
        await self.check()

    async def test_silent_connections_at_the_readiness_port(self):
        await self.attack(250, b"", port=self.daemon.front + 1)
        await self.check_readiness()
        await self.check()

    async def test_half_sent_requests_at_the_readiness_port(self):
        request = b"POST /api/ready HTTP/1.1\r\nHost: x\r\nContent-Length: 1040000\r\n\r\n"
        await self.attack(100, request + b"x" * 1000 * KIB, port=self.daemon.front + 1)
        await self.check_readiness()
        await self.check()

    async def test_ordinary_callers_beside_all_of_them(self):
        half = b"QUERY 1 WRITE x " + b"x" * 900 * KIB
        ahead = b"QUERY 1 WRITE x " + b"x" * 200 * KIB + b"\r\n"
        await asyncio.gather(self.attack(20, START + half), self.attack(15, START, *[ahead] * 40),
                             self.attack(150, b""), self.attack(15, START, *[b"QUERY 1 READ x\r\n" * 1000] * 10),
                             self.attack(20, b"GET", port=self.daemon.front + 1),
                             self.deployment.all_serve("ledger", ANSWER_S))
        await self.check()
        await self.check_readiness()


if __name__ == "__main__":
    unittest.main(verbosity=2)
