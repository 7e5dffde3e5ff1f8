"""Ready entries refuse no request during a rolling restart of all hosts."""

import threading
import time
import unittest

import harness


class RollingRestart(harness.FleetTest):

    def test_rolling_restart_under_load(self):
        """Each host restarts in turn while callers use the ready entries."""
        done = threading.Event()
        answers = []

        def load(worker):
            number = 0
            while not done.is_set():
                number += 1
                ready = [host for host in range(self.hosts)
                         if self.fleet.entry_ready(host)]
                if not ready:
                    answers.append(("no entry is ready", None))
                    time.sleep(0.05)
                    continue
                host = ready[(number + worker) % len(ready)]
                answer = self.fleet.payout(host, f"roll-{worker}-{number}")
                answers.append((f"host {host}", answer))
                time.sleep(0.02)

        threads = [threading.Thread(target=load, args=(worker,))
                   for worker in range(2)]
        for thread in threads:
            thread.start()
        for host in range(self.hosts):
            time.sleep(2)
            self.assertEqual(self.fleet.entries[host].stop(), 0)
            self.assertEqual(self.fleet.coordinators[host].stop(), 0)
            self.fleet.coordinators[host] = self.fleet.start_coordinator(host)
            self.fleet.entries[host] = self.fleet.start_entry(host)
            harness.wait_for(lambda h=host: self.fleet.entry_ready(h), 20,
                             "the host is ready again")
        time.sleep(2)
        done.set()
        for thread in threads:
            thread.join(20)
        failed = [(where, answer) for where, answer in answers
                  if answer is None or answer.status != 200]
        self.assertEqual(failed, [], f"of {len(answers)}")
        self.assertTrue(all(count == 1
                            for count in self.fleet.executions().values()))


if __name__ == "__main__":
    unittest.main()
