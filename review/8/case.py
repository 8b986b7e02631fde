"""Replicas lag, the primary leaves, and the answers of the next primary to one machine are late: stale reads there."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))

from standins import TROUBLE, Client, Closed, Relay, run_case  # noqa: E402

LAG_S = 3.6  # 60 ms, 60 times as late
STALENESS_S = 2.5  # of the route "plans"
CUT_S = float(os.environ.get("CUT", "1.6"))


async def write_always(client, acknowledged, stop):
    """Appends (time of the acknowledgement, term, number) of each commit."""
    while not stop.is_set():
        reply = await client.query("WRITE item x")
        if reply.code is None:
            acknowledged.append((client.record.now(), client.last))
        elif reply.state != "I":
            return
        await asyncio.sleep(0.03)


async def read_always(client, stop, pause):
    while not stop.is_set():
        await client.query("READ item")
        await asyncio.sleep(pause)


async def quietly(work):
    try:
        await work
    except (Closed, OSError):
        pass


async def case(deployment):
    record = deployment.record
    service = deployment.add_service("cutlist-x1", lag_s=0.06)
    leaving = await service.add("i-a1", "tbs-didube", primary=True)
    await service.add("i-b2", "tbs-didube")
    await service.add("i-c3", "tbs-didube")
    relays = {}
    for name, backend in service.backends.items():
        relays[name] = Relay(backend.port)
        await relays[name].listen()
    routes = [
        {"name": "r1", "db_name": "orders", "service": service.name, "kind": "primary", "timeout_ms": 1000,
         "target_latency_ms": 400, "priority": 1},
        {"name": "r2", "db_name": "lookups", "service": service.name, "kind": "bounded_staleness", "timeout_ms": 3000,
         "target_latency_ms": 1000, "max_staleness_ms": 1500, "priority": 2},
        {"name": "r3", "db_name": "plans", "service": service.name, "kind": "read_your_writes", "timeout_ms": 1000,
         "target_latency_ms": 800, "max_staleness_ms": 2500, "priority": 2}]
    deployment.configure(7, routes)
    # The machine that loses the path from the next primary for a moment reaches the backends through relays.
    victim = await deployment.add_daemon(os.environ.get("VICTIM", "front-1"), "tbs-didube", "127.0.0.11", [
        (f"127.0.0.1:{backend.port}", f"127.0.0.1:{relays[name].port}") for name, backend in service.backends.items()])
    other = await deployment.add_daemon(os.environ.get("OTHER", "front-2"), "tbs-didube", "127.0.0.12")
    third = await deployment.add_daemon("front-3", "tbs-didube", "127.0.0.13")
    for daemon in (victim, other, third):
        daemon.start()
    await deployment.wait_ready()
    await asyncio.sleep(3.5)

    stop = asyncio.Event()
    acknowledged = []
    readers = [Client(record) for _ in range(6)]
    tasks = []
    writer = await Client(record).open(other.host, other.ports["front"], "orders")
    tasks.append(asyncio.ensure_future(quietly(write_always(writer, acknowledged, stop))))
    for number, reader in enumerate(readers):
        await reader.open(victim.host, victim.ports["front"], "lookups" if number < 4 else "plans")
        tasks.append(asyncio.ensure_future(quietly(read_always(reader, stop, 0.02))))
    await asyncio.sleep(2)
    if TROUBLE:
        service.lag_s = LAG_S
        record.say(f"the replicas apply {LAG_S} s late from now on")
        await asyncio.sleep(1.0)
        relays["i-b2"].backward.cut(True)
        record.say("what i-b2 sends to one machine is held up")
        leaving.state = "draining"
        leaving.report()
        record.say("the primary i-a1 reports draining")
        await asyncio.sleep(CUT_S)
        relays["i-b2"].backward.cut(False)
        record.say("what i-b2 sent arrives")
        # More sessions read; those of before may wait for answers.
        for _ in range(4):
            reader = Client(record)
            readers.append(reader)
            await reader.open(victim.host, victim.ports["front"], "plans")
            tasks.append(asyncio.ensure_future(quietly(read_always(reader, stop, 0.02))))
        await asyncio.sleep(1.5)
        service.lag_s = 0.06
    await asyncio.sleep(2)
    stop.set()
    await asyncio.wait(tasks, timeout=5)

    ends = {backend.identity: backend.log for backend in service.backends.values()}
    final = max(service.backends.values(), key=lambda backend: (backend.primary, backend.term))
    kept = {statement[0]: (entry.term, entry.number) for entry in ends[final.identity] for statement in entry.statements}
    broken = 0
    checked = 0
    worst = 0.0
    for number, reader in enumerate(readers):
        limit = 1.5 if number < 4 else STALENESS_S
        for identity, sent in reader.sent.items():
            for at, backend, word, _, position in service.runs.get(identity, []):
                if word != "READ":
                    continue
                checked += 1
                held = int(position.split(".")[1])
                missed = [(time, write) for time, write in acknowledged
                          if time < sent - limit and write in kept and kept[write][1] > held]
                if missed:
                    broken += 1
                    worst = max(worst, sent - missed[0][0])
                    if broken <= 5:
                        record.say(f"STALE: READ {identity}, sent at {sent:.3f} s, ran at {at:.3f} s on {backend} at "
                                   f"{position}, which lacks {len(missed)} commits; the oldest, {missed[0][1]} "
                                   f"({kept[missed[0][1]][0]}.{kept[missed[0][1]][1]}), was acknowledged at "
                                   f"{missed[0][0]:.3f} s, {sent - missed[0][0]:.3f} s before")
    record.say(f"{len(acknowledged)} writes acknowledged; {checked} reads ran, {broken} of them on a log that was too "
               f"old (at most {worst:.2f} s)")
    if checked < 100 or len(acknowledged) < 50:
        return 2
    return 1 if broken else 0


run_case(case, HERE)
