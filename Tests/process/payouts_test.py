"""Non-idempotent requests run at most once, even if processes are killed."""

import collections
import threading
import time
import unittest

import harness


class Payouts(harness.FleetTest):

    def setUp(self):
        super().setUp()
        self.answers = []
        self._lock = threading.Lock()

    def _send(self, worker, keys, repeats, patience_ms):
        for repeat in range(repeats):
            for key in keys:
                host = (worker + repeat) % 2
                answer = self.fleet.payout(host, key,
                                           patience_ms=patience_ms)
                with self._lock:
                    self.answers.append((key, answer))

    def _start_senders(self, workers, keys, repeats, patience_ms=4000):
        threads = [threading.Thread(target=self._send,
                                    args=(worker, keys, repeats, patience_ms))
                   for worker in range(workers)]
        for thread in threads:
            thread.start()
        return threads

    def _join(self, threads):
        for thread in threads:
            thread.join(100)
            self.assertFalse(thread.is_alive())

    def _check_executions(self, keys):
        """Compares answers with the executions that the service recorded."""
        executions = self.fleet.executions()
        for key in keys:
            self.assertLessEqual(executions.get(key, 0), 1, key)
        for key, answer in self.answers:
            if answer.status == 200:
                self.assertEqual(executions.get(key, 0), 1, answer)
        return executions

    def test_repeats_get_the_recorded_answer(self):
        keys = [f"pay-{i}" for i in range(20)]
        self._join(self._start_senders(4, keys, 10))
        executions = self._check_executions(keys)
        self.assertEqual(sum(executions.get(key, 0) for key in keys), len(keys))
        bodies = {}
        for key, answer in self.answers:
            if answer.status == 200:
                bodies.setdefault(key, set()).add(answer.body)
            else:
                self.assertEqual(answer.problem, "action-in-progress", answer)
        self.assertTrue(
            all(len(distinct) == 1 for distinct in bodies.values()), bodies)
        mismatch = self.fleet.payout(0, keys[0], body='{"other":1}')
        self.assertEqual(mismatch.problem, "action-mismatch", mismatch)
        self.assertEqual(self._check_executions(keys), executions)

    def test_entry_killed(self):
        keys = [f"pay-{i}" for i in range(40)]
        self.fleet.set_faults(self.fleet.service, delay_ms=30)
        threads = self._start_senders(4, keys, 4)
        self.fleet.entries[0].kill()
        self.fleet.entries[0] = self.fleet.start_entry(0)
        self._join(threads)
        self._check_executions(keys)
        self.assertGreater(sum(a.status == 200 for _, a in self.answers), 0)

    def test_ten_thousand_repeats_with_kills(self):
        keys = [f"pay-{i}" for i in range(250)]
        threads = self._start_senders(8, keys, 5, patience_ms=1000)
        for host in (0, 1):
            time.sleep(1)
            self.fleet.entries[host].kill()
            self.fleet.entries[host] = self.fleet.start_entry(host)
        time.sleep(1)
        self.fleet.coordinators[0].kill()
        self.fleet.coordinators[0] = self.fleet.start_coordinator(0)
        self._join(threads)
        self.assertEqual(len(self.answers), 10000)
        executions = self._check_executions(keys)
        not_run = {key for key in keys if key not in executions}
        print(f"{len(executions)} of {len(keys)} keys executed; statuses",
              collections.Counter(answer.status for _, answer in self.answers))
        self.assertLess(len(not_run), len(keys))

    def test_coordinator_killed(self):
        keys = [f"pay-{i}" for i in range(40)]
        self.fleet.set_faults(self.fleet.service, delay_ms=10)
        threads = self._start_senders(4, keys, 4)
        self.fleet.coordinators[0].kill()
        self.fleet.coordinators[0] = self.fleet.start_coordinator(0)
        self._join(threads)
        self._check_executions(keys)

        def served():
            return self.fleet.payout(1, "after").status == 200

        harness.wait_for(served, 4 * harness.SHORT_LEASE_S,
                         "payouts are served after the takeover")
        self._check_executions(keys + ["after"])

    def test_lost_write_replies(self):
        keys = [f"pay-{i}" for i in range(30)]
        self.fleet.set_faults(self.fleet.platform, drop_replies=20)
        self._join(self._start_senders(2, keys, 3))
        self._check_executions(keys)


if __name__ == "__main__":
    unittest.main()
