"""The tokens of callers that leave before their answer."""

import http.client
import time
import unittest

import harness
import jarro_harness

TOKENS = 250  # Of one request.
RATE = 5
# A host that starts has three tenths of the burst: enough for one request.
BURST = 1000


class LeavingCallers(jarro_harness.JarroTest):
    hosts = 1

    def setUp(self):
        super().setUp()
        configuration = jarro_harness.configuration(2, {
            "counter": "key-counter", "limited": "key-limited"})
        configuration["tenants"][1].update({"ratePerS": RATE, "burst": BURST})
        self.fleet.control("config", configuration)
        harness.wait_for(
            lambda: self.fleet.post("/look/x", key="key-limited").status == 200,
            5, "the limited account is known")

    def leave(self, path, request_id, model=None):
        """Sends a request of the limited account and closes its connection
        once the request has had time to reach a server."""
        fleet = self.fleet
        connection = http.client.HTTPConnection(
            fleet.address(0), fleet.ports["front"], timeout=5)
        fields = {"Host": jarro_harness.HOST_HEADER, "Deadline-Ms": "8000",
                  "Request-Id": request_id,
                  "Authorization": "Bearer key-limited",
                  "Token-Usage": f"{TOKENS - 50},50"}
        if model:
            fields["Model"] = model
        connection.request("POST", path, b"{}", fields)
        time.sleep(0.3)
        connection.close()
        harness.wait_for(lambda: '"caller_left"' in fleet.hosts[0].log(), 2,
                         "the host has noticed that the caller left")

    def ask(self):
        return self.fleet.post("/look/y", key="key-limited", headers={
            "Token-Usage": f"{TOKENS - 50},50"}).status

    def test_tokens_of_a_request_that_a_server_runs_stay_used(self):
        """Guards against QUOTA (review/4): a server ran the request of a caller
        that left, and its account got the tokens back."""
        self.fleet.control("slow-answers")
        self.leave("/pay/x", "left-1")
        self.assertIn("left-1", str(self.fleet.runs()))
        self.assertEqual(self.ask(), 429)

    def test_tokens_of_a_request_that_still_waits_come_back(self):
        """Guards against refusing an account within its rate: nothing ran the
        request of a caller that left while no server had its model."""
        for engine in ("engine-1", "engine-2"):
            self.fleet.control("remove-entry", {"id": engine})
        time.sleep(1)
        self.leave("/chat/x", "left-2", "m1")
        self.assertNotIn("left-2", str(self.fleet.runs()))
        self.assertEqual(self.ask(), 200)


if __name__ == "__main__":
    unittest.main()
