"""Real daemons before a store in which another writer has left entries that cannot be read.

Guards against daemons that end, no longer follow the store or do not become ready beside such entries. Usage:
odd_entries_test.py BIN
"""

import asyncio
import unittest

from restored_store_test import APPLY_S, Deployment

SERVER = b'{"service":"db","address":"127.0.0.1:%s","zone":"a","version":%s,"slots":%s,"state":"ready",' \
    b'"cold_left_ms":0,"target_role":"primary","sequence":1,"born":%s}'
RECOVER_S = 12  # bound of the platform after a fault of all machines
ODD_ENTRIES = [
    b"null", b"[]", b"7", b'"text"', b"{}", b"NaN", b"\xff\xfe", b'"\\udcff"',
    b"[" * 40 + b"]" * 40,
    b"[" * 400000 + b"]" * 400000,
    b'{"a":' * 100000 + b"1" + b"}" * 100000,
    SERVER % (b"70000", b'"v"', b"4", b"1"),
    SERVER % (b"-1", b'"v"', b"4", b"1"),
    SERVER % (b"9", b'"v\xff"', b"4", b"1"),
    SERVER % (b"9", b"[" * 40 + b"]" * 40, b"4", b"1"),
    SERVER % (b"9", b'"v"', b"1e999", b"1"),
    SERVER % (b"9", b'"v"', b"123456789012345678901234567890", b"1"),
    SERVER % (b"9", b'"v"', b"4", b"1e30"),
]


class OddEntries(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.deployment = Deployment()
        await self.deployment.start()
        self.store = self.deployment.store
        self.group = self.deployment.group

    async def asyncTearDown(self):
        await self.deployment.stop()

    def leave_odd_entries(self, kind):
        for number, entry in enumerate(ODD_ENTRIES):
            self.store.put_bytes(kind, f"{number:02}-odd", entry)
        self.store.put_bytes(kind, "z name\r\nwith lines&after=x", ODD_ENTRIES[-1])

    async def check_all_run_and_serve(self):
        await self.deployment.all_serve("ledger", APPLY_S)
        for daemon in self.deployment.daemons:
            self.assertIsNone(daemon.process.returncode)

    async def replace_primary(self):
        former = self.group.leader()
        former.register("draining")
        for _ in range(60):
            await asyncio.sleep(0.1)
            if self.group.leader() not in (None, former):
                return
        self.fail("the primary was not replaced within 6 s")

    async def test_odd_entries_hide_what_endpoints_report(self):
        self.leave_odd_entries("servers")
        self.leave_odd_entries("config")
        leaving = next(endpoint for endpoint in self.group.endpoints.values() if not endpoint.primary)
        leaving.register("draining")
        await asyncio.sleep(5)  # the daemons send it no more work
        before = leaving.statements
        for _ in range(20):
            await self.check_all_run_and_serve()
        self.assertEqual(leaving.statements, before)
        self.deployment.configure(["ledger", "second"])
        await self.deployment.all_serve("second", APPLY_S)
        await self.replace_primary()
        await self.check_all_run_and_serve()

    async def test_daemon_that_starts_beside_odd_entries_does_not_serve(self):
        self.leave_odd_entries("servers")
        self.leave_odd_entries("config")
        self.leave_odd_entries("pistachiowood")
        for daemon in self.deployment.daemons:
            daemon.process.kill()
            await daemon.process.wait()
        for daemon in self.deployment.daemons:
            await daemon.start()
        await self.deployment.all_serve("ledger", 10)
        await self.check_all_run_and_serve()

    async def test_overwritten_record_of_a_service_ends_replacements(self):
        self.store.put_bytes("pistachiowood", "service-db", ODD_ENTRIES[8])
        await asyncio.sleep(1)
        await self.check_all_run_and_serve()
        await self.replace_primary()
        await self.check_all_run_and_serve()

    async def test_overwritten_records_are_lost(self):
        for name in [name for kind, name in self.store.objects if kind == "pistachiowood"]:
            self.store.put_bytes("pistachiowood", name, ODD_ENTRIES[8])
        # Daemons that nobody knows any more may still use the primary for the lifetime of a permission.
        await asyncio.sleep(RECOVER_S)
        await self.check_all_run_and_serve()
        await self.replace_primary()
        await self.check_all_run_and_serve()


if __name__ == "__main__":
    unittest.main(verbosity=2)
