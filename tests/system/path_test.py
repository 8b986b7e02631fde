"""Whole path without faults of the environment: sessions, transactions, request ids, input checks, shutdown."""

import http.client
import json
import signal
import threading
import time
import unittest

from system_case import SystemCase
from processes import wait_until


class Caller(threading.Thread):
    """Writes over one connection until a refusal says that the daemon shuts down."""

    def __init__(self, address, number):
        super().__init__()
        self.address = address
        self.number = number
        self.outcomes = {}
        self.failure = None

    def run(self):
        host, port = self.address.rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=20)
        try:
            for count in range(100000):
                value = f"drain-{self.number}-{count}"
                body = {"kind": "write", "deadline_ms": 5000, "request_id": value,
                        "statement": {"op": "append", "key": f"drain-{self.number}", "value": value}}
                connection.request("POST", "/v1/services/orders/statements", json.dumps(body))
                response = connection.getresponse()
                answer = json.loads(response.read())
                self.outcomes[value] = answer["outcome"]
                if response.status != 200:
                    return
        except (OSError, http.client.HTTPException, ValueError, KeyError) as failure:
            self.failure = repr(failure)
        finally:
            connection.close()


class PathTest(SystemCase):
    # Guards against a daemon that loses or ignores a token of another daemon.
    def test_read_your_writes_on_every_daemon(self):
        daemons = list(self.cluster.daemons)
        expected, session = [], None
        for writer in daemons:
            fields = {"session": session} if session else {}
            _, written = self.write(writer, "roam", writer, **fields)
            self.assertEqual(written.get("outcome"), "committed", written)
            expected.append(writer)
            session = written["session"]
            for reader in daemons:
                self.assertEqual(self.values(reader, "roam", session), expected, reader)

    # Guards against stale or lost data when sessions move between daemons under load.
    def test_roaming_sessions_under_load(self):
        load = self.start_load(8, 101, "--rate=250", "--roam=0.8", "--read-share=0.6", "--max-age-share=0.3",
                               "--max-age-ms=2000", "--non-idempotent-share=0.5", "--transaction-share=0.2",
                               "--sessions=40")
        measures = load.finish()
        self.assert_history_holds(load)
        for kind, figures in measures["kinds"].items():
            self.assertGreater(figures["committed"], 0, kind)
            self.assertEqual(figures["unknown"], 0, kind)

    # Guards against a transaction that is visible too early, lost, or kept after a rollback.
    def test_transactions_commit_and_roll_back(self):
        first, second = list(self.cluster.daemons)[0], list(self.cluster.daemons)[-1]
        _, start = self.write(first, "tx", "before")
        kept = self.begin(first)
        dropped = self.begin(second)
        # The steps of a transaction may arrive at any daemon.
        for daemon, transaction, value in ((second, kept, "kept"), (first, dropped, "dropped")):
            status, answer = self.write(daemon, f"tx-{value}", value, transaction=transaction)
            self.assertEqual(status, 200, answer)
        self.assertEqual(self.values(first, "tx-kept", start["session"]) or [], [])
        status, committed = self.post(second, f"transactions/{kept}/commit")
        self.assertEqual((status, committed["outcome"]), (200, "committed"), committed)
        status, rolled_back = self.post(first, f"transactions/{dropped}/rollback")
        self.assertEqual((status, rolled_back["outcome"]), (200, "not_run"), rolled_back)
        for daemon in self.cluster.daemons:
            self.assertEqual(self.values(daemon, "tx-kept", committed["session"]), ["kept"])
            self.assertEqual(self.values(daemon, "tx-dropped", committed["session"]) or [], [])

    # Guards against a repeated request that runs again, also when the two race at two daemons.
    def test_duplicate_request_id_executes_once(self):
        daemons = list(self.cluster.daemons)
        answers = []
        threads = [threading.Thread(target=lambda name=name: answers.append(
            self.write(name, "dup", "once", request_id="dup-1", idempotent=True))) for name in daemons]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual({answer["outcome"] for _, answer in answers}, {"committed"}, answers)
        _, last = self.write(daemons[0], "dup", "once", request_id="dup-1")
        self.assertEqual(last["outcome"], "committed", last)
        self.assertEqual(self.values(daemons[-1], "dup", last["session"]), ["once"])
        status, resolved = self.post(daemons[1], "requests/dup-1/resolve")
        self.assertEqual((status, resolved["outcome"]), (200, "committed"), resolved)
        status, refused = self.post(daemons[2], "requests/dup-never-sent/resolve")
        self.assertEqual((status, refused["outcome"]), (200, "not_run"), refused)
        _, late = self.write(daemons[3], "dup", "late", request_id="dup-never-sent")
        self.assertEqual(late["outcome"], "not_run", late)

    # Guards against bad input that is accepted, answered without a reason, or takes the daemon down.
    def test_bad_input_is_refused(self):
        daemon = next(iter(self.cluster.daemons))
        _, written = self.write(daemon, "input", "1")
        forged = written["session"][:-2] + ("AA" if written["session"][-2:] != "AA" else "BB")
        statement = {"kind": "read", "statement": {"op": "get", "key": "input"}}
        cases = [
            (400, "statements", {**statement, "session": forged}),
            (400, "statements", {**statement, "session": "x" * 5000}),
            (400, "statements", {**statement, "deadline_ms": 10 ** 12}),
            (400, "statements", {**statement, "deadline_ms": 0}),
            (400, "statements", {**statement, "deadline_ms": -5}),
            (400, "statements", {**statement, "kind": "delete"}),
            (400, "statements", {**statement, "max_age_ms": "soon"}),
            (400, "statements", {**statement, "request_id": "\u0000"}),
            (400, "statements", {**statement, "unknown": 1}),
            (400, "statements", {"kind": "read"}),
            (404, "nothing", {}),
        ]
        for expected, path, body in cases:
            status, answer = self.post(daemon, path, body)
            self.assertEqual(status, expected, (body, answer))
            self.assertTrue(answer["error"]["message"], body)
        status, answer = self.post(daemon, "statements", statement, service="no-such-service")
        self.assertEqual(status, 404, answer)
        self.assertEqual(answer["outcome"], "not_run")
        for expected, text in ((400, "{\"kind\":"), (400, "[1]"), (413, "{\"kind\":\"" + "x" * 1100000 + "\"}")):
            status, answer = self.post_text(daemon, text)
            self.assertEqual(status, expected, answer)
        self.assertEqual(self.values(daemon, "input", written["session"]), ["1"])

    def post_text(self, daemon, text):
        host, port = self.cluster.daemons[daemon]["caller"].rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=10)
        try:
            try:
                connection.request("POST", f"/v1/services/{self.service}/statements", text)
            except OSError:
                pass  # an oversized body is refused before it has been sent completely
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()

    # Guards against a shutdown that cuts requests, refuses untruthfully, or abandons transactions.
    def test_sigterm_cuts_no_request(self):
        daemons = list(self.cluster.daemons)
        name, other = daemons[1], daemons[4]
        transaction = self.begin(name)
        status, answer = self.write(name, "drain-tx", "kept", transaction=transaction)
        self.assertEqual(status, 200, answer)
        callers = [Caller(self.cluster.daemons[name]["caller"], number) for number in range(12)]
        for caller in callers:
            caller.start()
        time.sleep(1)
        self.cluster.processes[name].send(signal.SIGTERM)
        for caller in callers:
            caller.join(30)
        self.assertEqual([caller.failure for caller in callers if caller.failure], [])
        self.assertEqual({list(caller.outcomes.values())[-1] for caller in callers}, {"not_run"})
        wait_until(lambda: self.cluster.admin(other, "GET", "/v1/status")[0] == 200, 5, "no status")
        # The transaction is still open on the leaving daemon and can be finished through another one.
        status, committed = self.post(other, f"transactions/{transaction}/commit", {"deadline_ms": 5000})
        self.assertEqual((status, committed["outcome"]), (200, "committed"), committed)
        self.assertEqual(self.cluster.processes[name].handle.wait(40), 0)
        self.assertEqual(self.values(other, "drain-tx", committed["session"]), ["kept"])
        for caller in callers:
            expected = [value for value, outcome in caller.outcomes.items() if outcome == "committed"]
            self.assertGreater(len(expected), 1)
            self.assertEqual(self.values(other, f"drain-{caller.number}", committed["session"]), expected)
        self.cluster.start_daemon(name)
        self.cluster.wait_ready(40)


if __name__ == "__main__":
    unittest.main()
