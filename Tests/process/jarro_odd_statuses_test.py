"""Servers in trouble whose answers have a status that is none."""

import time
import unittest

import harness
import jarro_harness
from scripted_server import ScriptedServer, chunk, event, head

MODEL = "m5"  # No stand-in holds it.
STATUSES = ["000 Odd", "001 Odd", "099 Odd", "101 Odd", "600 Odd", "999 Odd"]
# An answer that can't be used ends its send at once, not at the deadline.
SOON_S = 2


def sized(request, status):
    return head(request, status, "Content-Length: 3") + b"odd"


def chunked(request, status):
    return (head(request, status, "Transfer-Encoding: chunked")
            + chunk(b"odd") + chunk(b""))


def without_body(request, status):
    return head(request, status)


def before_a_whole_answer(request, status):
    return sized(request, status) + head(
        request, "200 OK", "Content-Length: 4") + b"done"


SHAPES = [sized, chunked, without_body, before_a_whole_answer]


class OddStatuses(jarro_harness.JarroTest):
    hosts = 1

    def setUp(self):
        super().setUp()
        for server in self.fleet.platform_state()["servers"]:
            self.fleet.control("remove-entry", {"id": server["id"]})
        self.shape = None
        self.status = ""
        self.odd = []  # Ids of the requests that got an odd answer.
        for name, service, models in (("ledger-a", "ledger", []),
                                      ("ledger-b", "ledger", []),
                                      ("s1", "llm", [MODEL])):
            server = ScriptedServer(name, service, models, self.respond)
            self.addCleanup(server.close)
            server.register(self.fleet)
        harness.wait_for(lambda: self.fleet.post("/look/x").body == "done", 5,
                         "the host uses the new servers")

    def respond(self, connection, request):
        """The first send of a request gets the odd answer, others a whole one."""
        if self.shape is not None and request.id not in self.odd:
            self.odd.append(request.id)
            connection.sendall(self.shape(request, self.status))
            return True
        if request.target.startswith(("/chat", "/letter")):
            connection.sendall(
                head(request, "200 OK", "Content-Type: text/event-stream",
                     "Transfer-Encoding: chunked")
                + chunk(event(1)) + chunk(b""))
            return True
        connection.sendall(head(request, "200 OK", "Content-Length: 4")
                           + b"done")
        return True

    def each(self):
        """Sets each shape and status in turn, and yields a name for them."""
        for self.shape in SHAPES:
            for self.status in STATUSES:
                yield f"{self.shape.__name__} {self.status}"

    def test_request_that_may_not_be_repeated_gets_502(self):
        """Guards against a status that is none as an answer, against its body
        in the next answer (MIXED), and against silence until the deadline."""
        for answer in self.each():
            began = time.monotonic()
            reply = self.fleet.post("/pay/x")
            self.assertEqual(reply.status, 502, (answer, reply))
            self.assertNotIn("odd", reply.body, answer)
            self.assertLess(time.monotonic() - began, SOON_S, answer)

    def test_stream_that_may_not_be_repeated_gets_502(self):
        """Guards against the same for streams."""
        for answer in self.each():
            reply = self.fleet.chat(MODEL)
            self.assertEqual(reply.status, 502, (answer, reply))

    def test_request_that_may_be_repeated_is_sent_again(self):
        """Guards against a caller that gets nothing although another server
        would have answered."""
        for answer in self.each():
            began = time.monotonic()
            reply = self.fleet.post("/look/x")
            self.assertEqual((reply.status, reply.body), (200, "done"), answer)
            self.assertLess(time.monotonic() - began, SOON_S, answer)


if __name__ == "__main__":
    unittest.main()
