"""Servers that write an earlier refusal once more on a kept connection."""

import threading
import time
import unittest

import harness
import jarro_harness
from scripted_server import ScriptedServer, head

MODEL = "m5"  # No stand-in holds it.
REFUSED = ("503 Full", "Not-Executed: 1", "Content-Length: 0")


class LateRefusals(jarro_harness.JarroTest):
    hosts = 1

    def setUp(self):
        super().setUp()
        self.executed = []
        self.echo = True
        self.status = ""  # Answers to requests that were executed.
        self.refusals = 0
        self.written_again = 0
        self.refused = {}  # The last refusal by connection.
        self.lock = threading.Lock()
        for name, service, models in (("ledger-1", "ledger", []),
                                      ("ledger-2", "ledger", []),
                                      ("s1", "llm", [MODEL])):
            server = ScriptedServer(name, service, models, self.respond)
            self.addCleanup(server.close)
            server.register(self.fleet)
        harness.wait_for(lambda: self.fleet.post("/look/x").body == "done", 5,
                         "the host uses the new servers")
        self.executed.clear()

    def respond(self, connection, request):
        """Refuses some requests, writes the refusal once more when the next
        request on the connection has begun to run, and then answers it."""
        if self.status:
            self.executed.append(request.id)
            connection.sendall(head(request, self.status,
                                    "Content-Length: 0"))
            return True
        with self.lock:
            refuse = self.refusals > 0
            self.refusals -= refuse
        if refuse:
            self.refused[connection] = head(request, *REFUSED, echo=self.echo,
                                            signed=False)
            connection.sendall(self.refused[connection])
            return True
        self.executed.append(request.id)
        if refusal := self.refused.pop(connection, None):
            self.written_again += 1
            connection.sendall(refusal)
            time.sleep(0.1)
        connection.sendall(head(request, "200 OK", "Content-Length: 4")
                           + b"done")
        return True

    def assert_honest(self, requests, path, headers=None):
        """A request that was executed is not called not run, and is executed
        once."""
        for number in range(requests):
            self.refusals = 1
            request_id = f"late-{number}"
            reply = self.fleet.post(path, headers=headers,
                                    request_id=request_id)
            count = self.executed.count(request_id)
            self.assertLessEqual(count, 1, request_id)
            if reply.status in (408, 421, 429, 503):
                self.assertEqual(count, 0, (request_id, reply))

    def test_refusal_of_the_first_send_during_the_second(self):
        """Regression test (REFUSED, TWICE): the refusal of the first send was
        taken for the answer to the second send of the same request."""
        self.assert_honest(5, "/chat/x", {"Model": MODEL,
                                          "Token-Usage": "100,20"})

    def test_refusal_of_another_request(self):
        self.assert_honest(30, "/pay/x")
        self.assertGreater(self.written_again, 0)

    def test_refusal_without_an_echo(self):
        """Regression test (REFUSED, TWICE): an answer that names no request
        was taken for the current one's."""
        self.echo = False
        self.assert_honest(30, "/pay/x")

    def test_refusal_of_an_executed_request(self):
        """Regression test (REFUSED): an endpoint's refusal that does not say
        that the request was not executed was relayed as a promise."""
        for status in ("408 Timeout", "429 Busy", "503 Full"):
            self.status = status

            def ask():
                """Whether a server of this test executed a request."""
                self.executed.clear()
                reply = self.fleet.post("/pay/x")
                if self.executed:
                    self.assertEqual(reply.status, 502, reply)
                return self.executed
            harness.wait_for(ask, 10, f"a request is answered with {status}")

    def test_refusal_on_an_idle_connection(self):
        for number in range(10):
            self.refusals = 1
            self.fleet.post("/pay/x")
            for connection, refusal in list(self.refused.items()):
                try:
                    connection.sendall(refusal)
                except OSError:
                    pass  # The host has closed the connection.
            self.refused.clear()
            time.sleep(0.02)
            request_id = f"idle-{number}"
            reply = self.fleet.post("/pay/y", request_id=request_id)
            self.assertEqual(reply.status, 200)
            self.assertEqual(self.executed.count(request_id), 1)


if __name__ == "__main__":
    unittest.main()
