"""Odd values that another writer leaves among the documents of the store."""

import json
import unittest

import harness
import jarro_harness
from scripted_server import ScriptedServer, head

DEEP = "[" * 200_000 + "]" * 200_000


def odd_entries():
    """Returns odd values, as text, of entries of servers."""
    entry = {"service": "ledger", "address": "127.0.0.1:9", "zone": "z1",
             "version": "v1", "slots": 8, "state": "ready", "born": 1,
             "seq": 1}
    changes = [{"address": "127.0.0.1:0"}, {"address": "127.0.0.1:65536"},
               {"address": "127.0.0.1:-1"}, {"address": "nowhere:80"},
               {"slots": 1e300}, {"slots": -1}, {"born": 1e300},
               {"seq": 10 ** 40}, {"remainingMs": 1e300},
               {"models": [{"name": 5}]}]
    texts = [json.dumps({**entry, **change}) for change in changes]
    texts += [json.dumps(entry)[:-1] + f', "{field}": {DEEP}}}'
              for field in ("address", "service", "odd")]
    return [*texts, DEEP, "\x00", "1e999", ""]


class OddEntries(jarro_harness.JarroTest):
    hosts = 2

    def start_server(self, name):
        server = ScriptedServer(name, "ledger", [], self.respond)
        self.addCleanup(server.close)
        server.register(self.fleet)
        return server

    @staticmethod
    def respond(connection, request):
        connection.sendall(head(request, "200 OK", "Content-Length: 0"))
        return True

    def assert_hosts_follow(self, server):
        """Both hosts use a server that has just joined."""
        for index in range(self.hosts):
            before = len(server.requests)
            harness.wait_for(
                lambda i=index, n=before:
                self.fleet.post("/look/x", i).status == 200 and
                len(server.requests) > n, 5, f"host {index} uses the server")

    def test_odd_entries_cost_only_themselves(self):
        """Regression test (other operators' report): hosts that read the list
        ended, or stopped following it."""
        pids = [host.pid for host in self.fleet.hosts]
        for number, text in enumerate(odd_entries()):
            self.fleet.control("raw", {"key": f"servers/odd-{number}",
                                       "value": text})
        unusable = ScriptedServer("unusable", "ledger", [], self.respond)
        self.addCleanup(unusable.close)
        for key in ("servers/", "servers/odd\r\nX-Odd: 1"):
            self.fleet.control("raw", {"key": key,
                                       "value": json.dumps(unusable.entry())})
        self.fleet.control("raw", {"key": "hickoryloft/members/odd/1",
                                   "value": DEEP})
        self.assert_hosts_follow(self.start_server("after-odd"))
        self.assertTrue(all(host.running() for host in self.fleet.hosts))
        # A host that starts now reads all entries at once.
        self.fleet.hosts[0].kill()
        self.fleet.start_host(0)
        self.fleet.wait_ready()
        self.assert_hosts_follow(self.start_server("after-start"))
        self.assertTrue(all(host.running() for host in self.fleet.hosts))
        self.assertEqual(self.fleet.hosts[1].pid, pids[1])
        self.assertEqual(unusable.requests, [])


if __name__ == "__main__":
    unittest.main()
