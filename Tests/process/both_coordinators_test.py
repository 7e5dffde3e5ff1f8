"""All coordinators are killed within one short lease and restarted."""

import unittest

import harness


class BothCoordinators(harness.FleetTest):

    def test_payouts_are_served_again(self):
        """Claims are taken over after short leases, not after a long lease."""
        keys = [f"pay-{i}" for i in range(16)]
        for key in keys:
            self.assertEqual(self.fleet.payout(0, key).status, 200)
        for host in (0, 1):
            self.fleet.coordinators[host].kill()
        for host in (0, 1):
            self.fleet.coordinators[host] = self.fleet.start_coordinator(host)
        statuses = []

        def all_answered():
            statuses[:] = [self.fleet.payout(1, key, patience_ms=400).status
                           for key in keys]
            return statuses == [200] * len(keys)

        harness.wait_for(all_answered, 6 * harness.SHORT_LEASE_S,
                         "every claim has a holder again")
        self.assertEqual(set(self.fleet.executions().values()), {1})


if __name__ == "__main__":
    unittest.main()
