"""A replica that drains holds every acknowledged commit, the other one receives nothing for a while; then the primary
crashes. Which one is promoted?"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from world import TROUBLE, NotRun, Session, main  # noqa: E402

DEAF_S = 6.0  # replica_lag, "deaf crash" in the site file: 6 s
DRAIN_S = 8.0  # a backend that drains goes on for drain_ms (7 s) and a little longer


async def write(world, number, acknowledged, stop):
    """A client that posts orders, one statement each, and opens a new session after an error."""
    session = None
    count = 0
    while not stop.is_set():
        await asyncio.sleep(0.04)
        try:
            if session is None:
                session = await Session(world, world.nodes[number]).open("orders")
            identity = world.next_id()
            count += 1
            code, _, _ = await session.ask(f"WRITE item{number} order{count}", identity=identity)
            if code is None:
                acknowledged.append(identity)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            session = None
    if session:
        session.close()


async def case(world):
    service = world.service("ledger", sync=1)
    primary = await service.add("i-a0", "rajkot", primary=True)
    leaving = await service.add("i-b0", "junagadh")
    deaf = await service.add("i-c0", "mehsana")
    world.configure([("orders", "ledger", "primary")])
    await world.start_nodes()
    acknowledged = []
    stop = asyncio.Event()
    writers = [asyncio.ensure_future(write(world, number, acknowledged, stop)) for number in range(len(world.nodes))]
    await world.until(lambda: len(acknowledged) > 50, 15, "writes are served")
    await asyncio.sleep(4)
    if TROUBLE:
        deaf.deaf = True
        world.record.add("disruption: replica", deaf.name, "receives nothing from now on; at", deaf.position())
    await asyncio.sleep(1)
    leaving.drain()  # planned; it goes on receiving, and ends after drain_ms
    await asyncio.sleep(2)
    before = len(acknowledged)
    if TROUBLE:
        world.record.add("primary", primary.position(), "leaving replica", leaving.position(), "deaf replica",
                         deaf.position())
        primary.crash()
    await asyncio.sleep(DEAF_S - 3)
    deaf.deaf = False
    world.record.add("replica", deaf.name, "receives again")
    await asyncio.sleep(DRAIN_S - (DEAF_S - 1))  # the leaving replica runs until the end
    stop.set()
    await asyncio.gather(*writers)
    if before < 100:
        raise NotRun("no traffic before the crash")
    for _, _, backend, holder, token, log in world.cloud.promotions:
        held = {entry[2] for entry in log}
        lost = [identity for identity in acknowledged[:before] if identity not in held]
        world.record.add("promoted:", backend.name, "by", holder, "acknowledged before the crash:", before, "lacking:",
                         len(lost), *lost)
        if lost:
            return (f"LOST: {backend.name} was promoted and lacks {len(lost)} acknowledged commits; "
                    f"{leaving.name}, which was draining and reachable, held them all")
    return None


main(os.path.dirname(os.path.abspath(__file__)), case)
