"""Outages of the key-value service, suspended holders, leaving endpoints."""

import time
import unittest

import harness


class Outage(harness.FleetTest):

    def test_key_value_outage(self):
        """Actions are refused as not run; other requests are still served."""
        self.assertEqual(self.fleet.request_completion(0).status, 200)
        self.assertEqual(self.fleet.payout(0, "before").status, 200)
        self.fleet.set_faults(self.fleet.platform, outage="close")
        deadline = time.monotonic() + 3 * harness.SHORT_LEASE_S
        refused = []
        number = 0
        while time.monotonic() < deadline:
            number += 1
            key = f"during-{number}"
            answer = self.fleet.payout(number % 2, key)
            self.assertNotEqual(answer.status, 200,
                                "the action could not be recorded")
            if answer.outcome == "not_run":
                refused.append(key)
            warm = self.fleet.request_completion(number % 2)
            self.assertEqual(warm.status, 200, warm)
            time.sleep(0.2)
        self.assertGreater(len(refused), 0)
        self.fleet.set_faults(self.fleet.platform, outage=False)
        harness.wait_for(lambda: self.fleet.payout(0, "after").status == 200,
                         20, "payouts are served after the outage")
        executions = self.fleet.executions()
        for key in refused:
            self.assertNotIn(key, executions)

    def test_suspended_holder(self):
        """A coordinator suspended beyond its lease repeats no action."""
        keys = [f"freeze-{i}" for i in range(64)]
        for key in keys[:16]:
            self.fleet.payout(1, key)
        self.fleet.coordinators[0].suspend()
        time.sleep(3 * harness.SHORT_LEASE_S)
        for key in keys:
            self.fleet.payout(1, key)
        self.fleet.coordinators[0].resume()
        for key in keys:
            # Served, or refused while the host recovers.
            self.fleet.payout(0, key)
        harness.wait_for(
            lambda: self.fleet.payout(0, "woken").status == 200, 20,
            "the resumed host serves again")
        for key in keys:
            answer = self.fleet.payout(0, key)
            self.assertEqual(answer.status, 200, (key, answer))
        executions = self.fleet.executions()
        self.assertEqual(sorted(executions), sorted(keys + ["woken"]))
        self.assertEqual(set(executions.values()), {1}, executions)


class Leaving(harness.FleetTest):

    engines = 2

    def test_leaving_engine_receives_no_new_requests(self):
        limit_s = 2
        self.assertEqual(self.fleet.request_completion(0).status, 200)
        leaving = max(self.fleet.engines,
                      key=self._generation_count)
        # The host list does not mark it as leaving; only the engine reports it.
        self.fleet.set_faults(leaving, leaving=True)
        time.sleep(limit_s)
        before = self._generation_count(leaving)
        answers = [self.fleet.request_completion(i % 2) for i in range(10)]
        self.assertEqual([a.status for a in answers], [200] * 10, answers)
        self.assertEqual(self._generation_count(leaving), before)

    def _generation_count(self, engine):
        return len(self.fleet.fetch_record(engine)["generations_by_id"])


if __name__ == "__main__":
    unittest.main()
