"""Real daemons before a store that comes back from an older copy of its state.

Guards against confirmed changes that never come into force, since their revisions were given out before, and against
primaries, leases and reports of endpoints that are forgotten with the store's last changes. Usage:
restored_store_test.py BIN
"""

import asyncio
import json
import sys
import tempfile
import time
import unittest

from gateway_soak_test import DAEMONS, Daemon
from platform_fakes import Group, Store

BIN = sys.argv.pop(1)
APPLY_S = 3  # bound of the platform for a configuration to be in force
OUTAGE_S = 1.5
SETTLING_S = 5  # after an outage, for counting calls


class Deployment:
    """Store, one service of three endpoints, and the daemons before them."""

    async def start(self):
        self.version = 0
        self.databases = []
        self.store = Store()
        self.group = Group(self.store, "db")
        self.servers = [await asyncio.start_server(self.store.serve, "127.0.0.1", 0),
                        await asyncio.start_server(self.group.promote, "127.0.0.1", 0)]
        self.configure(["ledger"])
        for number in range(3):
            await self.group.add(f"e{number}", primary=number == 0)
        folder = tempfile.mkdtemp(prefix="pistachiowood-restored-")
        print("logs", folder, flush=True)
        ports = [server.sockets[0].getsockname()[1] for server in self.servers]
        self.daemons = [Daemon(BIN + "/pistachiowood-platform", folder, number, *ports) for number in range(DAEMONS)]
        for daemon in self.daemons:
            await daemon.start()
        await self.all_serve("ledger", 10)

    async def stop(self):
        for daemon in self.daemons:
            daemon.process.kill()
            await daemon.process.wait()
        for server in self.servers:
            server.close()

    def configure(self, databases):
        """Writes the next version of the configuration, with one route for each database."""
        self.version += 1
        self.databases = databases
        self.write_configuration()

    def write_configuration(self):
        kind = "read_your_writes"
        self.store.put("config", "main", {
            "version": self.version,
            "routes": [{"name": name, "db_name": name, "kind": kind, "timeout_ms": 1500, "target_latency_ms": 600,
                        "priority": 1, "service": "db", "max_staleness_ms": 2500} for name in self.databases],
            "services": [{"name": "db", "max_conns": 30, "sync_replicas": 0}], "limits": {"tx_idle_ms": 3000}})

    async def outage(self, checkpoint=None):
        """The store is away for a moment; with a checkpoint, it comes back in that state."""
        self.store.set_down(True)
        await asyncio.sleep(OUTAGE_S)
        if checkpoint:
            self.store.restore(checkpoint)
        self.store.set_down(False)
        if checkpoint:
            self.write_configuration()  # the operator writes again what was lost

    async def count_calls(self):
        before = self.store.calls
        await asyncio.sleep(SETTLING_S)
        return self.store.calls - before

    async def serves(self, daemon, database):
        """Whether the daemon reads from the database."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", daemon.front)
            try:
                writer.write(f"START {database} me\r\n".encode())
                if not (await asyncio.wait_for(reader.readline(), 1)).startswith(b"READY"):
                    return False
                writer.write(b"QUERY 1 READ item\r\n")
                return (await asyncio.wait_for(reader.readline(), 2)).startswith((b"ROW", b"DONE"))
            finally:
                writer.close()
        except (ConnectionError, asyncio.TimeoutError):
            return False

    async def all_serve(self, database, limit_s):
        deadline = time.monotonic() + limit_s
        for daemon in self.daemons:
            while not await self.serves(daemon, database):
                if time.monotonic() > deadline:
                    raise AssertionError(f"{database} is not served at port {daemon.front} within {limit_s} s")
                await asyncio.sleep(0.05)


class RestoredStore(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.deployment = Deployment()
        await self.deployment.start()

    async def asyncTearDown(self):
        await self.deployment.stop()

    async def replace_primary(self):
        """Lets the primary drain until another endpoint has taken over."""
        group = self.deployment.group
        former = group.leader()
        former.register("draining")
        for _ in range(60):
            if group.leader() not in (None, former):
                return former
            await asyncio.sleep(0.1)
        raise AssertionError("the primary was not replaced within 6 s")

    async def test_route_under_a_reused_revision_is_not_served(self):
        deployment = self.deployment
        checkpoint = deployment.store.checkpoint()
        deployment.configure(["ledger", "second"])
        deployment.configure(["ledger", "second", "third"])
        await deployment.all_serve("third", APPLY_S)
        await deployment.outage(checkpoint)
        await asyncio.sleep(1)
        # The store gives this version the revision that the daemons' copies have already.
        deployment.configure(["ledger", "second", "third", "fourth"])
        await deployment.all_serve("fourth", APPLY_S)

    async def test_new_primary_is_forgotten(self):
        deployment = self.deployment
        checkpoint = deployment.store.checkpoint()
        await self.replace_primary()
        await deployment.all_serve("ledger", APPLY_S)
        await deployment.outage(checkpoint)
        await deployment.all_serve("ledger", APPLY_S)
        await asyncio.sleep(1)
        record = json.loads(json.dumps(deployment.store.objects[("pistachiowood", "service-db")]["spec"]))
        self.assertEqual((record["primary"], record["replacing"]), (deployment.group.leader().name, False))

    async def test_replacement_under_way_never_ends(self):
        deployment = self.deployment
        checkpoint = deployment.store.checkpoint()
        await self.replace_primary()  # not recorded yet
        await deployment.outage(checkpoint)
        await deployment.all_serve("ledger", APPLY_S)

    async def test_fencing_token_goes_back(self):
        deployment = self.deployment
        checkpoint = deployment.store.checkpoint()
        former = await self.replace_primary()
        await deployment.all_serve("ledger", APPLY_S)
        await deployment.outage(checkpoint)
        former.register("ready")
        await asyncio.sleep(6)  # longer than a lease
        await self.replace_primary()
        tokens = [token for _, token in deployment.group.tokens]
        self.assertEqual(tokens, sorted(set(tokens)))

    async def test_draining_endpoint_gets_work_again(self):
        deployment = self.deployment
        leaving = next(endpoint for endpoint in deployment.group.endpoints.values() if not endpoint.primary)
        checkpoint = deployment.store.checkpoint()
        leaving.register("draining")
        await asyncio.sleep(5)  # the daemons send it no more work
        before = leaving.statements
        await deployment.outage(checkpoint)
        for _ in range(20):
            await deployment.all_serve("ledger", APPLY_S)
        self.assertEqual(leaving.statements, before)

    async def test_store_is_called_without_pause(self):
        deployment = self.deployment
        await deployment.outage()
        plain = await deployment.count_calls()
        checkpoint = deployment.store.checkpoint()
        deployment.configure(["ledger", "second"])
        await deployment.all_serve("second", APPLY_S)
        deployment.configure(["ledger"])
        await asyncio.sleep(1)
        await deployment.outage(checkpoint)
        # Besides the calls after any outage: each daemon lists three groups and watches them anew, and one writes what
        # was lost.
        extra = DAEMONS * 3 * 2 + 10
        self.assertLessEqual(await deployment.count_calls(), plain + extra)


if __name__ == "__main__":
    unittest.main(verbosity=2)
