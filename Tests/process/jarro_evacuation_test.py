"""Failure domains that an operator empties and takes back, and servers that are
cold: loft-host processes with the stand-in of the platform."""

import signal
import threading
import time
import unittest

import harness
import jarro_harness

# A domain gets nothing from this time after the request on. Requests may still
# go there in the first part of it, if no other domain can serve them.
BOUND_S = 5
# Hosts hear of a change within this time.
HEARD_S = 2.5
COLD_PER_S = 10
PRESS_S = 3.5
EVENT_GAP_S = 0.7  # Of slow streams.
KEY = "op/evacuate/"


class Evacuation(jarro_harness.JarroTest):
    """engine-1 and ledger-1 are in z1, engine-2 and ledger-2 in z0."""

    def setUp(self):
        super().setUp()
        self.fleet.control("move-second-servers")
        self.wait_for_placement_leader()
        harness.wait_for(
            lambda: self.fleet.chat("m2").complete and
            self.fleet.chat("m1").complete, 10, "both engines serve")

    def evacuate(self, zone):
        self.fleet.control("raw", {"key": KEY + zone, "value": "{}"})

    def take_back(self, zone):
        self.fleet.control("remove", {"key": KEY + zone})

    def runs_at(self, server):
        return len(self.fleet.platform_state()["servers"][server]["runs"])

    def log_count(self, text):
        return sum(text in host.log() for host in self.fleet.hosts)

    def test_domain_is_emptied_and_taken_back(self):
        fleet = self.fleet
        fleet.control("slow-streams")
        replies = []
        stream = threading.Thread(
            target=lambda: replies.append(fleet.chat("m1", limit_s=20)))
        stream.start()
        harness.wait_for(lambda: self.runs_at(0) >= 2, 5, "the stream runs")
        self.evacuate("z1")
        asked = time.monotonic()
        # Requests for the only replica are served all the time: at first
        # where it is, then where it has been loaded.
        while time.monotonic() - asked < BOUND_S:
            self.assertEqual(fleet.post("/look/x").status, 200)
            time.sleep(0.2)
        before = [self.runs_at(0), self.runs_at(2)]
        for index in (0, 1):
            self.assertEqual(fleet.post("/look/y", index).status, 200)
            self.assertEqual(fleet.post("/pay/y", index).status, 200)
        self.assertEqual([self.runs_at(0), self.runs_at(2)], before)
        stream.join(20)
        # It has gone on, past the bound, to the time limit of its route.
        self.assertGreater(len(replies[0].events()) * EVENT_GAP_S, BOUND_S + 1)
        self.assertEqual(self.log_count("failure domain evacuated"), 2)

        self.take_back("z1")
        harness.wait_for(lambda: self.log_count("domain taken back") == 2,
                         HEARD_S, "both hosts hear of it")
        harness.wait_for(
            lambda: fleet.post("/look/z", 1).status == 200 and
            self.runs_at(2) > before[1], 5, "the domain is used again")

    def test_only_replica_moves_before_the_bound(self):
        fleet = self.fleet
        self.evacuate("z1")
        time.sleep(BOUND_S)
        before = self.runs_at(0)
        self.assertTrue(fleet.chat("m1").complete)
        self.assertTrue(fleet.chat("m1", 1).complete)
        self.assertEqual(self.runs_at(0), before)

    def test_all_domains_evacuated_refuses_at_once(self):
        fleet = self.fleet
        self.evacuate("z0")
        self.evacuate("z1")
        time.sleep(BOUND_S)
        began = time.monotonic()
        for path in ("/look/x", "/pay/x"):
            reply = fleet.post(path)
            self.assertEqual(reply.status, 503)
            self.assertIn("evacuated", reply.body)
            self.assertIn("Retry-After", reply.headers)
        self.assertEqual(fleet.chat("m1").status, 503)
        self.assertLess(time.monotonic() - began, 1)
        self.take_back("z0")
        harness.wait_for(lambda: fleet.post("/look/x").status == 200, HEARD_S,
                         "the domain that is back serves")

    def test_host_that_starts_during_an_evacuation(self):
        """Beside a planned stop of another host."""
        fleet = self.fleet
        self.evacuate("z1")
        time.sleep(HEARD_S)
        fleet.hosts.append(None)
        fleet.start_host(2)
        fleet.hosts[0].signal(signal.SIGTERM)
        harness.wait_for(lambda: fleet.ready(2), 20, "the host is ready")
        before = [self.runs_at(0), self.runs_at(2)]
        for _ in range(5):
            self.assertEqual(fleet.post("/look/x", 2).status, 200)
        self.assertEqual([self.runs_at(0), self.runs_at(2)], before)

    def test_store_that_is_away(self):
        """An evacuation and its end are not forgotten while the store is away,
        and both are known soon after its return."""
        fleet = self.fleet
        self.evacuate("z1")
        harness.wait_for(lambda: self.log_count("is to be emptied") == 2,
                         HEARD_S, "both hosts hear of it")
        fleet.control("busy")
        time.sleep(BOUND_S - 2)
        before = self.runs_at(2)
        for _ in range(5):
            self.assertEqual(
                fleet.post("/open/x", key=None).status, 200)
        self.assertEqual(self.runs_at(2), before)
        self.take_back("z1")
        fleet.control("working")
        harness.wait_for(lambda: self.log_count("domain taken back") == 2,
                         HEARD_S, "both hosts hear of its end")


class ColdServers(jarro_harness.JarroTest):

    def test_cold_servers_are_spared(self):
        """All hosts together keep to the rate although callers press."""
        fleet = self.fleet
        configuration = jarro_harness.configuration(2)
        configuration["services"][1].update(
            {"coldStartS": 3, "coldPerS": COLD_PER_S})
        fleet.control("config", configuration)
        harness.wait_for(
            lambda: all("version=2" in host.log() or '"version":2' in host.log()
                        for host in fleet.hosts), 5, "the hosts know the rate")
        fleet.control("cold-ledgers")
        time.sleep(HEARD_S / 2)
        stop_at = time.monotonic() + PRESS_S
        served = []

        def press(index):
            while time.monotonic() < stop_at:
                served.append(fleet.post("/look/x", index, headers={
                    "Deadline-Ms": "1000"}).status)

        callers = [threading.Thread(target=press, args=(i % 2,))
                   for i in range(16)]
        for caller in callers:
            caller.start()
        samples = []  # Time and runs so far.
        while time.monotonic() < stop_at:
            servers = fleet.platform_state()["servers"]
            samples.append((time.monotonic(),
                            sum(len(servers[i]["runs"]) for i in (2, 3))))
            time.sleep(0.05)
        for caller in callers:
            caller.join()
        most = max(later - runs for at, runs in samples
                   for after, later in samples if at <= after <= at + 1)
        # The platform's bound for two servers, in one second.
        self.assertLessEqual(most, 2 * (1.5 * COLD_PER_S + 5))
        # The first second passes until the issuer of permits issues any.
        self.assertGreater(served.count(200),
                           (PRESS_S - 1.5) * COLD_PER_S / 2)


if __name__ == "__main__":
    unittest.main()
