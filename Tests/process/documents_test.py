"""Operators' changes take effect on all hosts within seconds."""

import http.client
import threading
import time
import unittest

import harness

IN_FORCE_LIMIT_S = 2
WITHDRAWAL_LIMIT_S = 3


class Documents(harness.FleetTest):

    def test_withdrawn_key_on_a_connected_caller(self):
        self.assertEqual(self.fleet.request_completion(1).status, 200)
        stream = self.fleet.start_stream(1, 200)
        connection = http.client.HTTPConnection(
            harness.LOOPBACK, self.fleet.entry_ports[1], timeout=10)
        self.addCleanup(connection.close)
        headers = {"Authorization": f"Bearer {harness.KEYS['clinic']}"}

        def send_payout():
            connection.request("POST", "/services/ledger/payouts", "{}", headers)
            reply = connection.getresponse()
            reply.read()
            return reply.status

        self.assertEqual(send_payout(), 200)
        harness.wait_for(lambda: stream.event_count() > 2, 10,
                         "the stream has started")
        withdrawn_at = time.monotonic()
        answer = self.fleet.put_document(
            harness.document(keys=("desk",)), revision=self.fleet.revision())
        self.assertEqual(answer.status, 200, answer)
        harness.wait_for(lambda: send_payout() == 401, WITHDRAWAL_LIMIT_S,
                         "the connected caller is refused")
        stream.join(WITHDRAWAL_LIMIT_S)
        self.assertIsNotNone(stream.ended_at, "the stream has not ended")
        self.assertLess(stream.ended_at - withdrawn_at, WITHDRAWAL_LIMIT_S)
        self.assertFalse(stream.is_complete())
        self.assertIn(b"key-withdrawn", stream.text)
        self.assertEqual(self.fleet.payout(0, "desk-1", account="desk").status,
                         200)

    def test_changes_take_effect_on_all_hosts(self):
        changes = [("desk",), ("clinic", "desk")]
        for keys in changes * 3:
            answer = self.fleet.put_document(
                harness.document(keys=keys), revision=self.fleet.revision())
            self.assertEqual(answer.status, 200, answer)
            expected = 200 if "clinic" in keys else 401
            for host in range(self.hosts):
                harness.wait_for(
                    lambda h=host, e=expected:
                        self.fleet.payout(h, None).status == e,
                    IN_FORCE_LIMIT_S, f"{keys} in force at host {host}")

    def test_concurrent_changes(self):
        """Of two concurrent changes to one revision exactly one is accepted."""
        for round_number in range(5):
            revision = self.fleet.revision()
            answers = [None, None]

            def apply(host, before=revision, number=round_number,
                      results=answers):
                text = harness.document(
                    tokens_per_second=1000 + number * 10 + host)
                results[host] = self.fleet.put_document(text, host, before)

            threads = [threading.Thread(target=apply, args=(host,))
                       for host in range(2)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join(20)
            statuses = sorted(answer.status for answer in answers)
            self.assertEqual(statuses, [200, 412], answers)
            winner = answers.index(next(a for a in answers if a.status == 200))
            rate = f"tokens_per_second = {1000 + round_number * 10 + winner}"
            for host in range(self.hosts):
                harness.wait_for(
                    lambda h=host, r=rate: r.encode() in self.fleet.admin(
                        h, "GET", "/admin/documents/shop").body,
                    IN_FORCE_LIMIT_S, f"{rate} at host {host}")


if __name__ == "__main__":
    unittest.main()
