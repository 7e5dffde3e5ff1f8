"""A planned stop aborts no running request."""

import unittest

import harness


class Stop(harness.FleetTest):

    def test_running_stream_completes(self):
        self.assertEqual(self.fleet.request_completion(0).status, 200)
        stream = self.fleet.start_stream(0, 40)
        harness.wait_for(lambda: stream.event_count() > 2, 10,
                         "the stream has started")
        self.assertEqual(self.fleet.entries[0].stop(), 0)
        stream.join(10)
        self.assertTrue(stream.is_complete(), stream.text[-300:])
        self.assertEqual(stream.tokens(), [f"t{i}" for i in range(40)])


if __name__ == "__main__":
    unittest.main()
