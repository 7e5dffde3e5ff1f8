"""Servers that end the connection inside the head of their answer."""

import itertools
import unittest

import harness
import jarro_harness
from scripted_server import ScriptedServer, chunk, event, head, reset

MODEL = "m5"  # No stand-in holds it.
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
MAX_TRIES = 10
BODY = event(1) + event(2)
FRAMINGS = {
    "length": (f"Content-Length: {len(BODY)}", BODY),
    "chunks": ("Transfer-Encoding: chunked", chunk(BODY) + chunk(b"")),
    "none": ("Vary: none", BODY)}


class CutHeads(jarro_harness.JarroTest):
    hosts = 1

    def setUp(self):
        super().setUp()
        self.framing = "length"
        self.interim = b""
        self.resets = False
        self.cut_at = None  # Bytes to send, or None for a whole answer.
        self.head_size = 0
        self.on_kept = False  # The last cut was on a connection in use again.

    def start_server(self, name, service):
        models = [MODEL] if service == "llm" else []
        self.server = ScriptedServer(name, service, models, self.respond)
        self.addCleanup(self.server.close)
        self.server.register(self.fleet)

    def respond(self, connection, request):
        kind = ("Content-Type: text/event-stream"
                if "/chat/" in request.target else "Content-Type: text/plain")
        if self.cut_at is None:
            field, body = FRAMINGS["length"]
            connection.sendall(head(request, "200 OK", kind, field) + body)
            return True
        field, body = FRAMINGS[self.framing]
        start = self.interim + head(request, "200 OK", kind, field)
        self.head_size = len(start)
        self.on_kept = connection in self.server.kept
        if self.resets:
            reset(connection)
        connection.sendall((start + body)[:self.cut_at])
        return False

    def check_each_byte(self, send, kept):
        """Cuts the answer after each number of bytes of its head."""
        at, self.head_size = 0, 1
        while at < self.head_size:
            for _ in range(MAX_TRIES if kept else 1):
                if kept:
                    self.cut_at = None
                    self.assertEqual(send().status, 200)
                self.check_cut(send, at)
                # A call of the host's own may have had the kept connection.
                if self.on_kept:
                    break
            self.assertTrue(self.on_kept or not kept, f"cut after {at}")
            at += 1
        self.assertGreater(at, 80)

    def check_cut(self, send, at):
        self.cut_at = at
        reply = send()
        self.assertEqual(reply.status, 502, f"cut after {at}: {reply}")
        self.assertTrue(reply.complete, reply)

    def check_all(self, send):
        for framing, interim, resets, kept in itertools.product(
                FRAMINGS, (b"", INTERIM), (False, True), (False, True)):
            self.framing, self.interim, self.resets = framing, interim, resets
            with self.subTest(framing=framing, interim=interim, resets=resets,
                              kept=kept):
                self.check_each_byte(send, kept)

    def test_streams(self):
        self.start_server("s1", "llm")

        def send():  # Few tokens, for the account's rate.
            return self.fleet.post("/chat/x", headers={
                "Model": MODEL, "Token-Usage": "1,1"})
        harness.wait_for(lambda: send().status == 200, 5,
                         "the host uses the server")
        self.check_all(send)

    def test_plain_answers(self):
        self.start_server("ledger-1", "ledger")
        # Replaces the second stand-in too, by the same server.
        self.fleet.control("entry", {"id": "ledger-2",
                                     "value": self.server.entry()})
        harness.wait_for(
            lambda: all(self.fleet.post("/pay/x").body == BODY.decode()
                        for _ in range(10)), 5,
            "the host uses the new server")
        self.check_all(lambda: self.fleet.post("/pay/x"))


if __name__ == "__main__":
    unittest.main()
