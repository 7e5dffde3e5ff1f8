"""The store comes back from a copy some seconds old."""

import time
import unittest

import harness
import jarro_harness

# Enough hosts to form groups, in which most hosts receive the store's changes
# through a relay.
GROUPED_HOSTS = 14
IN_FORCE_LIMIT_S = 5
# Shorter than the age from which hosts ask the store themselves.
OUTAGE_S = 0.2
# Writes that are lost, so that the revisions after the restore are lower.
LOST_WRITES = 30


class RestoredStoreTest(jarro_harness.JarroTest):
    def setUp(self):
        super().setUp()
        time.sleep(2)  # Until the hosts have formed groups.
        self.lost_since = 0

    def begin_lost_time(self):
        # The copy is told by its age, so no change may be close to its time.
        time.sleep(0.1)
        self.lost_since = time.monotonic()
        time.sleep(0.1)

    def statuses(self, key):
        return {self.fleet.post("/look/x", index, key=key).status
                for index in range(self.hosts)}

    def wait_in_force(self, key, status=200):
        harness.wait_for(lambda: self.statuses(key) == {status},
                         IN_FORCE_LIMIT_S,
                         f"all hosts answer {status} to {key}")

    def write_notes(self, count):
        for number in range(count):
            self.fleet.control("raw", {"key": "op/note", "value": str(number)})

    def restore(self, meanwhile=lambda: None):
        """Restores the state before begin_lost_time(). `meanwhile` writes to
        the store before the hosts reach it again."""
        self.fleet.control("silent")
        time.sleep(OUTAGE_S)
        lost_s = time.monotonic() - self.lost_since
        self.fleet.control("restore", {"lost_ms": int(lost_s * 1000)})
        meanwhile()
        self.fleet.control("working")


class Groups(RestoredStoreTest):
    hosts = GROUPED_HOSTS

    def test_changes_after_the_restore_reach_all_hosts(self):
        """Regression test (CONFIG on the grown sites): hosts took the lower
        revisions after the restore for old news."""
        self.begin_lost_time()
        self.fleet.configure(2, {"counter": "key-lost"})
        self.wait_in_force("key-lost")
        self.write_notes(LOST_WRITES)
        time.sleep(0.5)
        self.restore()
        # The operator writes again what was lost, and goes on.
        self.fleet.configure(2, {"counter": "key-lost"})
        self.fleet.configure(3, {"counter": "key-new"})
        self.wait_in_force("key-new")
        self.wait_in_force("key-lost", 401)


class TwoHosts(RestoredStoreTest):
    hosts = 2

    def test_changes_before_the_revisions_pass_the_old_one_are_seen(self):
        """Regression test (CONFIG): a watch continued from a revision that had
        been given out again, without what came before it."""
        self.begin_lost_time()
        self.write_notes(LOST_WRITES)
        time.sleep(0.5)

        def write():
            self.fleet.configure(2, {"counter": "key-new"})
            self.write_notes(LOST_WRITES * 2)
        self.restore(write)
        self.wait_in_force("key-new")

    def test_placement_leader_keeps_its_lease(self):
        self.wait_for_placement_leader()
        leader = self.fleet.platform_state()["holder"]
        self.begin_lost_time()
        self.write_notes(LOST_WRITES)
        self.restore()
        for _ in range(30):
            self.assertEqual(self.fleet.platform_state()["holder"], leader)
            time.sleep(0.1)


if __name__ == "__main__":
    unittest.main()
