"""Regions that routes and client accounts allow: loft-host processes in two
regions with the stand-in of the platform."""

import time
import unittest

import harness
import jarro_harness

WEST, EAST = "west", "east"  # Of the zones z0 and z1.


class Homes(jarro_harness.JarroTest):
    """engine-1 and ledger-1 are in the east, engine-2 and ledger-2 in the
    west."""

    def setUp(self):
        super().setUp()
        self.fleet.control("move-second-servers")

    def configure(self, route_homes=(), account_homes=()):
        configuration = jarro_harness.configuration(2)
        for route in configuration["routes"]:
            route["allowedRegions"] = list(route_homes)
        for tenant in configuration["tenants"]:
            tenant["allowedRegions"] = list(account_homes)
        self.fleet.control("config", configuration)
        harness.wait_for(
            lambda: all('"version":2' in host.log() or "version=2" in host.log()
                        for host in self.fleet.hosts), 5,
            "the configuration is in force")

    def runs_at_ledgers(self):
        servers = self.fleet.platform_state()["servers"]
        return [len(servers[2]["runs"]), len(servers[3]["runs"])]

    def look(self):
        return [self.fleet.post("/look/x", index % 2).status
                for index in range(20)]

    def test_requests_stay_in_the_home_of_their_route(self):
        self.configure(route_homes=[EAST])
        east, west = self.runs_at_ledgers()
        self.assertEqual(self.look(), [200] * 20)
        self.assertEqual(self.runs_at_ledgers(), [east + 20, west])

    def test_both_homes_bind(self):
        """Nothing is sent where the route's home is not the account's."""
        self.configure(route_homes=[EAST], account_homes=[WEST])
        before = self.runs_at_ledgers()
        began = time.monotonic()
        reply = self.fleet.post("/look/x")
        self.assertEqual(reply.status, 503)
        self.assertIn("no_endpoint_at_home", reply.body)
        self.assertLess(time.monotonic() - began, 1)
        self.assertEqual(self.runs_at_ledgers(), before)

    def test_homes_with_all_regions_change_nothing(self):
        self.configure(route_homes=[EAST, WEST], account_homes=[WEST])
        east, west = self.runs_at_ledgers()
        self.assertEqual(self.look(), [200] * 20)
        self.assertEqual(self.runs_at_ledgers(), [east, west + 20])


if __name__ == "__main__":
    unittest.main()
