"""Planned stop of pistachiowood-platform under load, before stand-ins of the platform.

Guards against requests that a stopping daemon passes on to an endpoint and does not answer: the callers whose sessions
it closes connect to it again at once, until it is gone. Usage: planned_stop_test.py BIN
"""

import asyncio
import random
import signal
import sys
import tempfile

from gateway_soak_test import Daemon, configuration
from platform_fakes import Group, Store

ROUNDS = 3
CALLERS = 100
FIRST_PORT = 17700
WORK_S = 0.1  # of an endpoint for one read
MEAN_PAUSE_S = 0.2  # before a request; the sessions are idle for most of the time
START_S = 2  # until the daemon is ready and under load
LATE_S = 2.5  # after SIGTERM; the daemon is to end within 3 s (grace_s)
STOP_LIMIT_S = 6


class Caller:
    """Reads in sessions of its own, which it opens again as soon as they are closed."""

    def __init__(self, number, daemon):
        self.number = number
        self.daemon = daemon
        self.random = random.Random(number)
        self.opened = []  # times of the session requests
        self.sent = set()
        self.answered = set()

    async def run(self, stopped):
        while not stopped.is_set():
            try:
                await asyncio.wait_for(self.session(), STOP_LIMIT_S)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.005)

    async def session(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.daemon.front)
        try:
            self.opened.append(asyncio.get_running_loop().time())
            writer.write(b"START ledger me\r\n")
            while (await reader.readline()).startswith(b"READY"):
                await asyncio.sleep(self.random.expovariate(1 / MEAN_PAUSE_S))
                if reader.at_eof():
                    return
                identity = f"{self.daemon.front}-{self.number}-{len(self.sent)}"
                self.sent.add(identity)
                writer.write(f"QUERY {identity} READ item\r\n".encode())
                line = await reader.readline()
                while line.startswith(b"ROW"):
                    line = await reader.readline()
                if not line.startswith((b"DONE", b"ERR")):
                    return
                self.answered.add(identity)
        finally:
            writer.close()


async def hold_connection(daemon):
    """Sends a part of a statement: the daemon waits for the rest and does not end before its time is over."""
    _, writer = await asyncio.open_connection("127.0.0.1", daemon.front)
    writer.write(b"START ledger me\r\nQUERY part READ it")
    return writer


async def stop_under_load(binary, number, store_port, cloud_port, group):
    """Whether all requests that reached an endpoint were answered, while callers came back until the daemon ended."""
    folder = tempfile.mkdtemp(prefix="pistachiowood-stop-")
    daemon = Daemon(binary, folder, number, store_port, cloud_port, FIRST_PORT)
    await daemon.start()
    stopped = asyncio.Event()
    callers = [Caller(caller, daemon) for caller in range(CALLERS)]
    tasks = [asyncio.ensure_future(caller.run(stopped)) for caller in callers]
    await asyncio.sleep(START_S)
    holder = await hold_connection(daemon)
    terminated = asyncio.get_running_loop().time()
    daemon.process.send_signal(signal.SIGTERM)
    code = await asyncio.wait_for(daemon.process.wait(), STOP_LIMIT_S)
    stopped.set()
    holder.close()
    await asyncio.gather(*tasks)
    lost = [identity for caller in callers for identity in caller.sent
            if identity in group.received and identity not in caller.answered]
    late = sum(at - terminated > LATE_S for caller in callers for at in caller.opened)
    answered = sum(len(caller.answered) for caller in callers)
    print(f"{answered} requests answered, {len(lost)} lost {lost[:5]}; {late} sessions asked for at the end of the stop",
          flush=True)
    return code == 0 and not lost and late > 0 and answered > CALLERS


async def test(binary):
    store = Store()
    group = Group(store, "db")
    group.work_s = WORK_S
    store_server = await asyncio.start_server(store.serve, "127.0.0.1", 0)
    cloud_server = await asyncio.start_server(group.promote, "127.0.0.1", 0)
    store.put("config", "main", configuration(1, ["ledger"]))
    for number in range(3):
        await group.add(f"e{number}", primary=number == 0)
    ports = [server.sockets[0].getsockname()[1] for server in (store_server, cloud_server)]
    held = [await stop_under_load(binary, number, *ports, group) for number in range(ROUNDS)]
    return all(held)


def main():
    ok = asyncio.run(test(sys.argv[1] + "/pistachiowood-platform"))
    print("passed" if ok else "failed")
    sys.exit(0 if ok else 1)


if __name__ == "__main__":
    main()
