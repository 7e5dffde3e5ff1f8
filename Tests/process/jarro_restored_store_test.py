"""The store comes back from a copy some seconds old."""

import time
import unittest

import harness
import jarro_harness
from scripted_server import ScriptedServer, head

# Enough hosts to form groups, in which most hosts receive the store's changes
# through a relay.
GROUPED_HOSTS = 14
IN_FORCE_LIMIT_S = 5
# Shorter than the age from which hosts ask the store themselves.
OUTAGE_S = 0.2
# Writes that are lost, so that the revisions after the restore are lower.
LOST_WRITES = 30
# Within this time all hosts have heard that a server has left.
HEARD_S = 2
# After this time a registration that is still missing counts as gone.
GONE_S = 3
PLATFORM_PAGE_ITEMS = 500

# A host that has started would be ready well within this time.
STARTED_S = 3.5


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

    def start_server(self):
        def respond(connection, request):
            connection.sendall(head(request, "200 OK", "Content-Length: 0"))
            return True
        server = ScriptedServer("ledger-9", "ledger", [], respond)
        self.addCleanup(server.close)
        server.register(self.fleet)
        return server

    def is_used(self, server, index):
        before = len(server.requests)
        for _ in range(8):
            self.fleet.post("/look/x", index)
        return len(server.requests) > before

    def used_by(self, server):
        return [index for index in range(self.hosts)
                if self.is_used(server, index)]

    def wait_used(self, server):
        harness.wait_for(lambda: len(self.used_by(server)) == self.hosts,
                         IN_FORCE_LIMIT_S, "all hosts use the server")


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

    def test_server_whose_registration_was_lost_is_used_by_all_hosts(self):
        """Hosts that hear of the restore from another host read twice if all
        keys are on one page, as they are on the platform."""
        self.fleet.control("page-items", {"items": PLATFORM_PAGE_ITEMS})
        self.begin_lost_time()
        server = self.start_server()
        self.wait_used(server)
        self.write_notes(LOST_WRITES)
        # Without an outage, relays notice the restore first.
        lost_s = time.monotonic() - self.lost_since
        self.fleet.control("restore", {"lost_ms": int(lost_s * 1000)})
        time.sleep(GONE_S)
        server.register(self.fleet)
        self.wait_used(server)


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

    def test_server_whose_registration_was_lost_is_used_again(self):
        """Regression test (CONFIG, DENIED): a registration that was lost and
        written again unchanged was ignored for good."""
        self.begin_lost_time()
        server = self.start_server()
        self.wait_used(server)
        self.write_notes(LOST_WRITES)
        self.restore()
        time.sleep(GONE_S)
        server.register(self.fleet)
        self.wait_used(server)

    def test_server_that_has_left_is_not_used_again(self):
        """Guards against DRAIN: the copy brings back the registration of a
        server that has left."""
        server = self.start_server()
        self.wait_used(server)
        self.begin_lost_time()
        server.leave(self.fleet)
        time.sleep(HEARD_S)
        self.assertEqual(self.used_by(server), [])
        self.restore()
        for _ in range(10):
            self.assertEqual(self.used_by(server), [])
            time.sleep(0.1)

    def test_host_that_starts_from_the_copy_asks_the_others(self):
        """Regression test (CONFIG): a host that had started from the copy let
        a withdrawn key through."""
        self.begin_lost_time()
        self.fleet.configure(2, {"counter": "key-new"})
        self.wait_in_force("key-counter", 401)
        self.restore()
        index = self.hosts
        self.fleet.hosts.append(None)
        self.fleet.start_host(index)
        statuses = set()
        end = time.monotonic() + STARTED_S
        while time.monotonic() < end:
            statuses.add(self.fleet.post("/look/x", index).status)
        self.assertLessEqual(statuses, {0, 503}, statuses)
        self.assertFalse(self.fleet.ready(index))
        self.fleet.configure(2, {"counter": "key-new"})
        harness.wait_for(lambda: self.fleet.ready(index), IN_FORCE_LIMIT_S,
                         "the host is ready")
        self.assertEqual(self.fleet.post("/look/x", index).status, 401)
        self.assertEqual(
            self.fleet.post("/look/x", index, key="key-new").status, 200)

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
