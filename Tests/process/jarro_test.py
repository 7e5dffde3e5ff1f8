"""loft-host between callers and the stand-in of the Jarro platform."""

import json
import signal
import threading
import time
import unittest

import harness
import jarro_harness


class Serving(jarro_harness.JarroTest):

    def test_all_kinds_of_requests_are_served(self):
        fleet = self.fleet
        paid = fleet.post("/pay/one")
        self.assertEqual(paid.status, 200, paid)
        self.assertIn("Server-Signature", paid.headers)
        self.assertEqual(fleet.post("/look/one", 1).status, 200)
        self.assertEqual(fleet.post("/open/one", key=None).status, 200)
        streamed = fleet.chat("m1")
        self.assertTrue(streamed.complete, streamed)
        self.assertEqual(streamed.events(), [f"t{i}" for i in range(1, 13)])
        # A model on disk only, an adapter, and a model of the weight store.
        for model in ("m3", "m1/a2", "m5"):
            reply = fleet.chat(model, 1)
            self.assertEqual((reply.status, len(reply.events())), (200, 12),
                             f"{model}: {reply}")
        for run in fleet.runs():
            self.assertEqual(run["key"], "", "a server received an API key")
        for server in fleet.platform_state()["servers"]:
            self.assertFalse(server["overloaded"], server["id"])

    def test_refusals(self):
        fleet = self.fleet
        self.assertEqual(fleet.post("/pay/one", key="wrong").status, 401)
        self.assertEqual(fleet.post("/pay/one", key=None).status, 401)
        self.assertEqual(fleet.post("/nowhere/").status, 404)
        self.assertEqual(
            fleet.post("/pay/one", body=b"x" * 70000).status, 413)
        self.assertEqual(fleet.chat("unheard-of").status, 503)
        self.assertEqual(fleet.runs(), [])

    def test_forged_account_is_replaced(self):
        self.fleet.post("/pay/one", key="key-shop",
                        headers={"Tenant": "counter", "Hold": "h1"})
        self.assertEqual([run["account"] for run in self.fleet.runs()],
                         ["shop"])

    def test_broken_stream(self):
        """A resumable stream continues at another server; others are cut."""
        fleet = self.fleet
        fleet.chat("m1")
        fleet.control("break-streams")
        cut = fleet.chat("m1")
        self.assertFalse(cut.complete)
        self.assertEqual(cut.events(), ["t1", "t2", "t3", "t4"])
        fleet.control("break-streams")
        resumed = fleet.chat("m2", path="/letter/x")
        self.assertTrue(resumed.complete, resumed)
        self.assertEqual(resumed.events(), [f"t{i}" for i in range(1, 13)])


class Configuration(jarro_harness.JarroTest):

    def test_withdrawn_key_and_new_one(self):
        fleet = self.fleet
        fleet.configure(5, {"counter": "key-new"})
        harness.wait_for(
            lambda: fleet.post("/pay/a", key="key-new").status == 200, 3,
            "the new key is valid")
        self.assertEqual(fleet.post("/pay/a").status, 401)
        fleet.configure(4)  # An older version must not take effect.
        time.sleep(1)
        self.assertEqual(fleet.post("/pay/a").status, 401)

    def test_unreadable_data_is_ignored(self):
        fleet = self.fleet
        fleet.control("config", "{not json")
        fleet.control("foreign-entry", json.dumps({"service": "ledger"}))
        time.sleep(1)
        self.assertEqual(fleet.post("/pay/a").status, 200)
        self.assertIn("configuration unreadable", fleet.hosts[0].log())
        self.assertIn("endpoint entry unreadable", fleet.hosts[0].log())

    def test_compacted_history(self):
        fleet = self.fleet
        fleet.configure(6, {"counter": "key-six"})
        fleet.control("compact")
        fleet.configure(7, {"counter": "key-seven"})
        harness.wait_for(
            lambda: fleet.post("/pay/a", key="key-seven").status == 200, 6,
            "the host has the newest configuration")

    def test_draining_server_receives_no_requests(self):
        fleet = self.fleet
        fleet.control("drain-ledger-1")
        time.sleep(1.5)
        before = len(fleet.platform_state()["servers"][2]["runs"])
        for i in range(10):
            self.assertEqual(fleet.post(f"/look/{i}").status, 200)
        self.assertEqual(len(fleet.platform_state()["servers"][2]["runs"]),
                         before)


class Outages(jarro_harness.JarroTest):

    def test_keys_are_refused_while_fleet_state_is_too_old(self):
        fleet = self.fleet
        fleet.control("silent")
        harness.wait_for(lambda: fleet.post("/pay/a").status == 503, 8,
                         "requests with a key are refused")
        self.assertFalse(fleet.ready(0))
        self.assertEqual(fleet.post("/open/a", key=None).status, 200)
        fleet.control("working")
        harness.wait_for(lambda: fleet.post("/pay/a").status == 200, 8,
                         "requests are served again")

    def test_lost_write_replies(self):
        fleet = self.fleet
        fleet.control("lose-writes")
        fleet.hosts[1].kill()
        fleet.start_host(1)
        time.sleep(2)
        fleet.control("working")
        harness.wait_for(lambda: fleet.ready(1), 10, "the host is ready")
        self.assertEqual(fleet.chat("m3", 1).status, 200)


class Hosts(jarro_harness.JarroTest):
    hosts = 3

    def test_placement_leader_crash(self):
        fleet = self.fleet
        self.wait_for_placement_leader()
        self.assertEqual(fleet.chat("m3").status, 200)
        index = int(fleet.platform_state()["holder"].rsplit("-", 1)[1])
        fleet.hosts[index].kill()
        other = (index + 1) % 3
        reply = fleet.chat("m6", other, limit_s=20)
        self.assertEqual(reply.status, 200, reply)
        orders = [order for server in fleet.platform_state()["servers"]
                  for order in server["orders"]]
        by_fence = {}
        for order in orders:
            by_fence.setdefault(order["fence"], set()).add(order["holder"])
        self.assertTrue(all(len(holders) == 1 for holders in by_fence.values()))
        self.assertEqual(len(by_fence), 2)

    def test_suspended_placement_leader_sends_no_orders(self):
        fleet = self.fleet
        self.wait_for_placement_leader()
        self.assertEqual(fleet.chat("m3").status, 200)
        old_leader = fleet.platform_state()["holder"]
        index = int(old_leader.rsplit("-", 1)[1])
        fleet.hosts[index].suspend()
        self.assertEqual(
            fleet.chat("m5", (index + 1) % 3, limit_s=20).status, 200)
        fleet.hosts[index].resume()
        order_count = len(self._orders())
        fleet.chat("m6", (index + 2) % 3, limit_s=20)
        for order in self._orders()[order_count:]:
            self.assertNotEqual(order["holder"], old_leader)

    def _orders(self):
        return [order for server in self.fleet.platform_state()["servers"]
                for order in server["orders"]]

    def test_models_of_a_crashed_engine_are_loaded_elsewhere(self):
        """The only engine that holds a model refuses connections; its
        registration remains."""
        fleet = self.fleet
        self.assertEqual(fleet.chat("m1").status, 200)
        fleet.control("crash-engine-1")
        reply = fleet.chat("m1")
        self.assertEqual((reply.status, len(reply.events())), (200, 12), reply)

    def test_planned_stop_aborts_no_request(self):
        fleet = self.fleet
        self.assertEqual(fleet.chat("m1").status, 200)
        replies = []
        threads = [threading.Thread(
            target=lambda: replies.append(fleet.chat("m1", 0)))
            for _ in range(3)]
        for thread in threads:
            thread.start()
        time.sleep(0.05)
        fleet.hosts[0].signal(signal.SIGTERM)
        for thread in threads:
            thread.join()
        self.assertTrue(all(reply.complete and reply.status == 200
                            for reply in replies), replies)
        harness.wait_for(lambda: not fleet.ready(0), 2, "the host is not ready")
        self.assertEqual(fleet.hosts[0].wait(), 0)

    def test_stop_during_a_store_outage_loses_no_request(self):
        """Regression test (LOST on swt-visits, hunt-e31e-3): a request arrived
        while the stopping host waited for the store to end its registration."""
        fleet = self.fleet
        fleet.control("slow-answers")
        fleet.control("silent")
        fleet.hosts[0].signal(signal.SIGTERM)
        # Past the time in which the stopping host still serves normally.
        time.sleep(3)
        reply = fleet.post("/open/one", 0, key=None, request_id="late")
        executed = "late" in [run["id"] for run in fleet.runs()]
        self.assertEqual(executed, reply.status == 200, reply)
        self.assertEqual(fleet.hosts[0].wait(), 0)


class Program(unittest.TestCase):

    def test_settings_are_checked(self):
        fleet = jarro_harness.JarroFleet(0)
        self.addCleanup(fleet.close)
        path = fleet.directory / "node.json"
        settings = fleet.settings(0)
        path.write_text(json.dumps(settings))
        valid = jarro_harness.run_program(
            "loft-host", "--settings", path, "--check-settings")
        self.assertEqual(valid.returncode, 0, valid.stderr)
        del settings["provider"]["address"]
        path.write_text(json.dumps(settings))
        invalid = jarro_harness.run_program("loft-host", "--settings", path)
        self.assertEqual(invalid.returncode, 3)
        self.assertIn("provider.address", invalid.stderr)
        missing = jarro_harness.run_program("loft-host", "--settings", "/no")
        self.assertEqual(missing.returncode, 3)
        self.assertEqual(
            jarro_harness.run_program("loft-host", "--bogus").returncode, 2)


if __name__ == "__main__":
    unittest.main()
