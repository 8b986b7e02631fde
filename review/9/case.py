"""Two of three machines of a zone are stopped with SIGTERM; the sessions that they close reconnect."""

import asyncio
import os
import random
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))

from standins import TROUBLE, Client, Closed, Entry, run_case  # noqa: E402

SESSIONS = 100  # of the zone; 25 clients with 4 sessions each
MEAN_PAUSE_S = 0.65  # 153 requests a second
GRACE_S = 6.0
SENT_EARLY_S = 3.0  # requests sent no later than this after SIGTERM may be cut in the last sixth of the grace


class PoolClient:
    """A long, mostly idle session that reconnects after a close; one read at a time."""

    def __init__(self, record, entry, seed, requests):
        self.record = record
        self.entry = entry
        self.name = f"client-{seed}"
        self.random = random.Random(seed)
        self.requests = requests  # of (id, daemon, time sent, whether it was answered)

    async def work(self, until):
        await asyncio.sleep(self.random.uniform(0, MEAN_PAUSE_S))
        while self.record.now() < until:
            daemon = self.entry.choose(self.name)
            try:
                client = await Client(self.record).open(daemon.host, daemon.ports["front"], "lookups")
            except (Closed, OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.05)
                continue
            await self.use(client, daemon, until)
            client.close()

    async def use(self, client, daemon, until):
        try:
            while self.record.now() < until:
                # A session that the daemon closes while it is idle is opened again at once.
                if not await self.idle(client, self.random.expovariate(1 / MEAN_PAUSE_S)):
                    return
                sent = self.record.now()
                answered = False
                try:
                    await client.query(f"READ item{self.random.randrange(100)}")
                    answered = True
                finally:
                    self.requests.append((client.last, daemon.name, sent, self.record.now(), answered))
        except (Closed, OSError):
            pass

    @staticmethod
    async def idle(client, duration):
        try:
            await asyncio.wait_for(client.reader.read(1), duration)
        except asyncio.TimeoutError:
            return True
        except OSError:
            pass
        return False


async def case(deployment):
    record = deployment.record
    service = deployment.add_service("cutlist-x1", work_s=0.055)
    for number, name in enumerate(("i-a1", "i-b2", "i-c3")):
        await service.add(name, "tbs-didube", primary=number == 0)
    deployment.configure(7, [{"name": "r2", "db_name": "lookups", "service": service.name, "kind": "bounded_staleness",
                              "timeout_ms": 3000, "target_latency_ms": 1000, "max_staleness_ms": 1500, "priority": 2}])
    daemons = [await deployment.add_daemon(f"front-{number}", "tbs-didube", f"127.0.0.1{number}")
               for number in (1, 2, 3)]
    for daemon in daemons:
        daemon.start()
    await deployment.wait_ready()
    await asyncio.sleep(4)
    entry = Entry(record, daemons)
    requests = []
    end = record.now() + 12
    tasks = [asyncio.ensure_future(PoolClient(record, entry, seed, requests).work(end)) for seed in range(SESSIONS)]
    await asyncio.sleep(3)
    stopped = {}
    ended = {}
    if TROUBLE:
        for daemon in daemons[:2]:
            daemon.send(signal.SIGTERM)
            stopped[daemon.name] = record.now()
        for _ in range(int(GRACE_S * 20)):
            await asyncio.sleep(0.05)
            for daemon in daemons[:2]:
                if daemon.name not in ended and daemon.process.poll() is not None:
                    ended[daemon.name] = record.now()
                    record.say(f"{daemon.name} has ended, {ended[daemon.name] - stopped[daemon.name]:.2f} s after "
                               f"SIGTERM")
                    daemon.start()  # a process that exits is restarted
    await asyncio.wait(tasks, timeout=15)
    broken = 0
    unread = 0
    for identity, name, sent, at, answered in requests:
        if answered or name not in stopped:
            continue
        after = sent - stopped[name]
        arrived = service.arrivals.get(identity)
        if arrived is None or not SENT_EARLY_S < after < GRACE_S + 1:
            unread += 1
            continue
        broken += 1
        if broken <= 8:
            record.say(f"LOST: READ {identity}, sent to {name} {after:.3f} s after SIGTERM, reached a backend after "
                       f"{arrived - sent:.3f} s; the connection ended after {at - sent:.3f} s without an answer")
    record.say(f"{len(requests)} requests sent; {broken} were passed on to a backend and lost, {unread} others got no "
               f"answer from a machine that stopped")
    if len(requests) < 500:
        return 2
    return 1 if broken else 0


run_case(case, HERE)
