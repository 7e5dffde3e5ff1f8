"""Servers that write the copy of a refusal while the refused request is being
sent to the same address again."""

import threading
import time
import unittest

import harness
import jarro_harness
from scripted_server import ScriptedServer, head

MODEL = "m5"  # No stand-in holds it.
TIME_TO_RUN_S = 0.1
RESTARTS = 5


class CopiedRefusals(jarro_harness.JarroTest):
    hosts = 1

    def setUp(self):
        super().setUp()
        self.instance = "s0"
        self.executed = []
        self.refused = {}  # The last refusal by connection.
        self.copies = 0
        self.server = ScriptedServer(self.instance, "llm", [MODEL],
                                     self.respond)
        self.addCleanup(self.server.close)
        self.server.register(self.fleet)
        harness.wait_for(lambda: self.ask("warm-up").status == 200, 5,
                         "the host uses the new server")

    def ask(self, request_id):
        return self.fleet.chat(MODEL, request_id=request_id)

    def respond(self, connection, request):
        """Refuses requests to another instance, and writes the last refusal on
        the connection once more while it runs the next request."""
        if request.headers["expect-instance"] != self.instance:
            self.refused[connection] = head(request, "421 Misdirected Request",
                                            "Content-Length: 0", signed=False)
            connection.sendall(self.refused[connection])
            return True
        self.executed.append(request.id)
        if refusal := self.refused.pop(connection, None):
            self.copies += 1
            connection.sendall(refusal)
            time.sleep(TIME_TO_RUN_S)
        connection.sendall(head(request, "200 OK", "Content-Length: 4")
                           + b"done")
        return True

    def test_server_returns_under_another_id(self):
        """Regression test (REFUSED, TWICE): a request that one instance had
        refused went to the next one at this address on the same connection,
        and the copy of the refusal was taken for the second answer."""
        for number in range(1, RESTARTS + 1):
            old, self.instance = self.instance, f"s{number}"
            request_id = f"again-{number}"
            replies = []
            asking = threading.Thread(
                target=lambda: replies.append(self.ask(request_id)))
            asking.start()
            harness.wait_for(lambda: self.refused, 5, "a refusal")
            self.server.name = self.instance
            self.server.register(self.fleet)
            self.fleet.control("remove-entry", {"id": old})
            asking.join()
            self.assertEqual(replies[0].status, 200, replies[0])
            self.assertEqual(self.executed.count(request_id), 1)
            self.refused.clear()


if __name__ == "__main__":
    unittest.main()
