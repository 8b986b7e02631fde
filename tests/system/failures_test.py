"""Failures of endpoints, daemons, zones and the platform while a recorded load runs."""

import threading
import time
import unittest

from system_case import MAX_FAILOVER_MS, SystemCase
from processes import wait_until

# Long enough to see a gap of the allowed length after a fault in the second second.
FAILOVER_LOAD_S = 14.5
FAULT_DELAY_S = 1.5
LEAVING_LIMIT_S = 3  # invariant 7


def load_flags(transaction_share=0.2):
    return ("--rate=150", "--sessions=60", "--roam=0.3", "--read-share=0.5", "--max-age-share=0.3",
            "--non-idempotent-share=0.5", f"--transaction-share={transaction_share}", "--deadline-ms=1500")


class FailuresTest(SystemCase):
    service = "general"

    @classmethod
    def adjust(cls, description):
        # A second change of primary of one service is held down, so each failover has a service of its own.
        names = ("general", "killed", "frozen", "isolated", "outage")
        description["services"] = [{"name": name, "slots": 5} for name in names]
        description["links"] = {"store": "north", "zone_ms": 0.5, "region_ms": 8, "caller_ms": 3, "region_mbit": 30}
        return description

    def tearDown(self):
        self.cluster.links.heal()
        self.cluster.set_platform_faults(outage=False, delay_ms=0, lose_answers=0)

    def daemon_in(self, zone):
        return next(name for name, daemon in self.cluster.daemons.items() if daemon["zone"] == zone)

    def zone_without_primary(self):
        zones = [zone["name"] for zone in self.cluster.deployment["zones"]]
        used = self.cluster.endpoints[self.primary()[1]]["zone"]
        return [zone for zone in zones if zone != used][-1]

    def finish_failover(self, load, *services):
        measures = load.finish()
        for service in services:
            self.assertLess(measures["longest_write_gap_ms"][service], MAX_FAILOVER_MS, measures)
        self.assert_history_holds(load)

    def wait_follower(self, endpoint, term):
        def follows():
            status = self.cluster.endpoint_status(endpoint)
            return status["role"] == "replica" and status["term"] >= term
        wait_until(follows, 15, f"{endpoint} does not follow in term {term}")

    # Guards against a lost or doubled write when a primary dies, and against a paused one that still
    # believes that it is the primary.
    def test_primary_killed_and_primary_frozen(self):
        killed_term, killed = self.primary("killed")
        frozen_term, frozen = self.primary("frozen")
        load = self.start_load(FAILOVER_LOAD_S, 201, *load_flags(), services=["killed", "frozen"])
        time.sleep(FAULT_DELAY_S)
        self.cluster.kill(killed)
        self.cluster.freeze(frozen)
        self.addCleanup(self.cluster.resume, frozen)
        self.cluster.wait_new_primary("killed", killed_term)
        term, _ = self.cluster.wait_new_primary("frozen", frozen_term)
        time.sleep(1)
        self.cluster.resume(frozen)
        self.wait_follower(frozen, term)
        self.finish_failover(load, "killed", "frozen")

    # Guards against acknowledgements by a primary that daemons reach but that has no majority.
    def test_primary_isolated_from_other_endpoints(self):
        term, primary = self.primary("isolated")
        load = self.start_load(FAILOVER_LOAD_S, 202, *load_flags(), services=["isolated"])
        time.sleep(FAULT_DELAY_S)
        self.cluster.links.isolate_zone(self.cluster.endpoints[primary]["zone"], kinds=("endpoint",))
        term, successor = self.cluster.wait_new_primary("isolated", term)
        self.assertNotEqual(successor, primary)
        time.sleep(1)
        self.cluster.links.heal()
        self.wait_follower(primary, term)
        self.finish_failover(load, "isolated")

    # Guards against a promotion that needs the platform, and a status that never reaches it afterwards.
    def test_platform_outage_during_promotion(self):
        term, primary = self.primary("outage")
        load = self.start_load(FAILOVER_LOAD_S, 203, *load_flags(), services=["outage"])
        time.sleep(FAULT_DELAY_S)
        self.cluster.set_platform_faults(outage=True)
        self.cluster.kill(primary)
        term, successor = self.cluster.wait_new_primary("outage", term)
        self.finish_failover(load, "outage")
        # Answers that are lost after the change took effect must not make it appear twice or not at all.
        self.cluster.set_platform_faults(outage=False, lose_answers=2)

        def stored():
            status, body = self.cluster.get_object("ServiceStatus", "outage")
            return status == 200 and (body["object"]["term"], body["object"]["primary"]) >= (term, successor)
        wait_until(stored, 20, "the status of the new primary did not reach the platform")

    # Guards against lost acknowledged writes, or untrue refusals, on both sides of a partition.
    def test_zone_cut_off_and_healed(self):
        zone = self.zone_without_primary()
        inside = self.daemon_in(zone)
        load = self.start_load(9, 204, *load_flags())
        time.sleep(FAULT_DELAY_S)
        self.cluster.links.isolate_zone(zone)
        cut_at = time.monotonic()
        time.sleep(2)
        _, read = self.read(inside, "any", max_age_ms=60000)
        self.assertEqual(read["outcome"], "committed", read)
        status, refused = self.post(inside, "statements", {
            "kind": "write", "deadline_ms": 1000, "request_id": "cut-1", "idempotent": True,
            "statement": {"op": "append", "key": "cut", "value": "1"}})
        self.assertIn(refused["outcome"], ("not_run", "unknown"), refused)
        time.sleep(max(0.0, cut_at + 4 - time.monotonic()))
        self.cluster.links.heal()
        load.finish()
        self.cluster.wait_ready(20)
        _, resolved = self.post(inside, "requests/cut-1/resolve", {"deadline_ms": 5000})
        _, marker = self.write(inside, "cut-marker", "1")
        present = self.values(inside, "cut", marker["session"]) == ["1"]
        self.assertEqual(resolved["outcome"], "committed" if present else "not_run", resolved)
        if refused["outcome"] == "not_run":
            self.assertFalse(present)
        self.assert_history_holds(load)

    # Guards against an untrue outcome of a transaction whose daemon died.
    def test_daemon_killed_in_transaction(self):
        load = self.start_load(5, 205, *load_flags(transaction_share=0.8))
        transaction = self.begin(next(iter(self.cluster.daemons)))
        holder = transaction.split("~")[0]
        self.addCleanup(self.cluster.wait_ready, 20)
        self.addCleanup(self.cluster.start_daemon, holder)
        other = next(name for name in self.cluster.daemons if name != holder)
        status, answer = self.write(other, "orphan", "1", transaction=transaction)
        self.assertEqual(status, 200, answer)
        time.sleep(1)
        self.cluster.kill(holder)
        status, answer = self.post(other, f"transactions/{transaction}/commit", {"deadline_ms": 3000})
        if answer["outcome"] == "unknown":
            _, answer = self.post(other, f"requests/{transaction}/resolve", {"deadline_ms": 5000})
        self.assertEqual(answer["outcome"], "not_run", answer)
        _, marker = self.write(other, "orphan-marker", "1")
        self.assertEqual(self.values(other, "orphan", marker["session"]) or [], [])
        load.finish()
        self.assert_history_holds(load)

    # Guards against a change that is lost or made twice when its answer from the platform is lost.
    def test_lost_platform_answers(self):
        first = next(iter(self.cluster.daemons))
        self.cluster.set_platform_faults(lose_answers=2)
        status, change = self.cluster.admin(first, "POST", "/v1/labels/Endpoint/general-zone-a", {"set": {"lost": "1"}})
        self.assertIn(status, (200, 504), change)
        _, stored = self.cluster.get_object("Endpoint", "general-zone-a")
        self.assertEqual(stored["object"]["labels"].get("lost"), "1", (change, stored))
        if status == 200:
            self.assertEqual(change["version"], stored["version"])
        self.cluster.wait_in_force(stored["version"])

    # Guards against a write of one operator that silently replaces the other's.
    def test_two_configuration_writers(self):
        writers = [self.daemon_in("zone-a"), self.daemon_in("zone-c")]
        _, before = self.cluster.get_object("Endpoint", "general-zone-b")
        answers = {}

        def change(writer):
            answers[writer] = self.cluster.admin(
                writer, "PATCH", f"/v1/objects/Endpoint/general-zone-b?expected_version={before['version']}",
                {"labels": {"writer": writer}})
        threads = [threading.Thread(target=change, args=(writer,)) for writer in writers]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(sorted(status for status, _ in answers.values()), [200, 409], answers)
        winner = next(writer for writer, (status, _) in answers.items() if status == 200)
        self.cluster.wait_in_force(answers[winner][1]["version"])
        for name in self.cluster.daemons:
            _, seen = self.cluster.admin(name, "GET", "/v1/objects/Endpoint/general-zone-b")
            self.assertEqual(seen["object"]["labels"]["writer"], winner, name)

    # Guards against work for an endpoint that operators are about to remove.
    def test_leaving_endpoint_gets_no_new_work(self):
        leaving = f"general-{self.zone_without_primary()}"
        load = self.start_load(7, 206, "--rate=200", "--read-share=0.9", "--max-age-share=0.5", "--sessions=40")
        time.sleep(1)
        marked = time.monotonic()
        status, change = self.cluster.admin(
            next(iter(self.cluster.daemons)), "POST", f"/v1/drain/endpoint/{leaving}")
        self.assertEqual(status, 200, change)
        load.finish()
        self.assert_history_holds(load)
        reads = [record for record in load.records() if record["endpoint"] == leaving]
        late = [record for record in reads if record["start_us"] / 1e6 > marked + LEAVING_LIMIT_S]
        self.assertTrue([record for record in reads if record["start_us"] / 1e6 < marked], "load never used it")
        self.assertEqual(late, [])
        self.cluster.admin(next(iter(self.cluster.daemons)), "POST", f"/v1/undrain/endpoint/{leaving}")


if __name__ == "__main__":
    unittest.main()
