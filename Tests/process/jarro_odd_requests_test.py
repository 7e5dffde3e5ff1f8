"""Requests with names that no configuration lists."""

import json
import time
import unittest

import jarro_harness


class OddNames(jarro_harness.JarroTest):
    hosts = 3

    def test_adapter_name_that_is_not_utf_8(self):
        """Guards against an end of the placement leader, and of each next one,
        while it writes an order with the name (review, by hand)."""
        fleet = self.fleet
        self.wait_for_placement_leader()
        for index in range(self.hosts):
            reply = fleet.post("/chat/x", index, headers={
                "Model": b"m1/\xe9t\xe9", "Token-Usage": "100,20",
                "Deadline-Ms": "1500"})
            self.assertEqual(reply.status, 503)
            self.assertIn("unknown_adapter", reply.body)
        time.sleep(0.5)
        for host in fleet.hosts:
            self.assertTrue(host.running(), "a host has ended")
            for line in host.log().splitlines():
                json.loads(line)
        self.assertTrue(fleet.chat("m1/a1").complete)

    def test_adapter_that_is_not_configured(self):
        """Guards against an order that an engine refuses, after which it gets
        no orders for seconds."""
        reply = self.fleet.chat("m1/a99")
        self.assertEqual(reply.status, 503)
        self.assertIn("unknown_adapter", reply.body)
        self.assertTrue(self.fleet.chat("m1/a2").complete)


if __name__ == "__main__":
    unittest.main()
