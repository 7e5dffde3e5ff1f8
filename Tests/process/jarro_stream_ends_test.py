"""Answers that end with their connection, and what a caller sees of them."""

import socket
import unittest

import harness
import jarro_harness
from scripted_server import (ScriptedServer, chunk, event, head, reset,
                             stream_head)

MODEL = "m5"  # No stand-in holds it.
LAST_EVENT = 6


class StreamEnds(jarro_harness.JarroTest):
    hosts = 1

    def start_server(self, name, respond, service="llm"):
        models = [MODEL] if service == "llm" else []
        server = ScriptedServer(name, service, models, respond)
        self.addCleanup(server.close)
        server.register(self.fleet)
        return server

    def chat(self, path="/chat/x"):
        return self.fleet.chat(MODEL, path=path)

    @staticmethod
    def rest_of_stream(connection, request):
        """Sends the events after Last-Event-Id, in chunks."""
        after = int(request.headers.get("last-event-id", 0))
        connection.sendall(stream_head(request, "Transfer-Encoding: chunked"))
        for number in range(after + 1, LAST_EVENT + 1):
            connection.sendall(chunk(event(number)))
        connection.sendall(chunk(b""))
        return True

    @staticmethod
    def unframed(*pieces):
        """Sends a stream without a length or chunks, then closes."""
        def respond(connection, request):
            connection.sendall(stream_head(request) + b"".join(pieces))
            return False
        return respond

    def test_unframed_stream_that_ends_inside_an_event_is_cut(self):
        """Regression test (ORDER on jarro-ne): the end of the connection made
        a broken stream complete."""
        self.start_server("s1", self.unframed(event(1), b"id: 2\nda"))
        reply = self.chat()
        self.assertEqual(reply.events(), ["t1"])
        self.assertFalse(reply.complete, reply)

    def start_crashing_server(self):
        """Its process ends after two events of a stream without a framing: its
        system closes the connections in order, and refuses new ones."""
        def respond(connection, request):
            connection.sendall(stream_head(request) + event(1) + event(2))
            server.crash()
            return False
        server = self.start_server("s1", respond)
        return server

    def test_unframed_stream_of_a_server_that_is_gone_is_cut(self):
        """Guards against a begun stream that passes for complete because its
        server ended between two events (ORDER, review/3)."""
        self.start_crashing_server()
        reply = self.chat()
        self.assertEqual(reply.events(), ["t1", "t2"])
        self.assertFalse(reply.complete, reply)

    def test_unframed_stream_of_a_server_without_reports_is_complete(self):
        """Guards against taking any failed report for a server that is gone."""
        server = self.start_server("s1", self.unframed(event(1), event(2)))
        server.control_status = "404 Not Found"
        reply = self.chat()
        self.assertEqual(reply.events(), ["t1", "t2"])
        self.assertTrue(reply.complete, reply)

    def test_unframed_stream_of_a_server_that_is_gone_is_resumed(self):
        """Guards against the same where another server can go on."""
        server = self.start_crashing_server()
        resumed = self.start_server("s2", self.rest_of_stream)
        for _ in range(20):
            reply = self.chat("/letter/x")
            self.assertTrue(reply.complete, reply)
            self.assertEqual(reply.events(), [f"t{number}" for number in
                                              range(1, LAST_EVENT + 1)])
            if server.requests:
                break
        self.assertEqual(len(server.requests), 1)
        self.assertEqual(resumed.requests[-1].headers["last-event-id"], "2")

    def test_framed_stream_that_ends_inside_an_event_is_cut(self):
        """Regression test (ORDER on swt-visits-grown): the length or the last
        chunk made a stream complete that ended inside an event."""
        pieces = event(1) + b"id: 2\nda"

        def with_length(connection, request):
            connection.sendall(stream_head(
                request, f"Content-Length: {len(pieces)}") + pieces)
            return True

        def with_chunks(connection, request):
            connection.sendall(
                stream_head(request, "Transfer-Encoding: chunked")
                + chunk(pieces) + chunk(b""))
            return True
        for name, respond in (("s1", with_length), ("s2", with_chunks)):
            server = self.start_server(name, respond)
            reply = self.chat()
            self.assertEqual(reply.events(), ["t1"])
            self.assertFalse(reply.complete, reply)
            server.leave(self.fleet)

    def test_framed_stream_without_an_event_is_not_sent(self):
        """Regression test (ORDER): an empty stream, framed as complete."""
        def respond(connection, request):
            connection.sendall(stream_head(request, "Content-Length: 0"))
            return True
        self.start_server("s1", respond)
        self.assertEqual(self.chat().status, 502)

    def test_caller_that_resumes_after_the_last_event_gets_its_end(self):
        self.start_server("s1", self.rest_of_stream)
        reply = self.fleet.post("/letter/x", headers={
            "Model": MODEL, "Token-Usage": "100,20",
            "Last-Event-Id": str(LAST_EVENT)})
        self.assertEqual((reply.status, reply.body), (200, ""))
        self.assertTrue(reply.complete, reply)

    def test_unframed_stream_that_ends_inside_its_first_event_is_not_sent(self):
        """Regression test (ORDER): a part of an event as a whole answer."""
        self.start_server("s1", self.unframed(b"id: 1\nda"))
        self.assertEqual(self.chat().status, 502)

    def test_unframed_stream_without_an_event_is_not_sent(self):
        """Regression test (ORDER): an empty answer with status 200."""
        self.start_server("s1", self.unframed())
        self.assertEqual(self.chat().status, 502)

    def test_unframed_stream_that_ends_inside_an_event_is_resumed(self):
        """Regression test (ORDER): a resumable stream ended early."""
        broken = [True]

        def respond(connection, request):
            if broken.pop() if broken else False:
                return self.unframed(event(1), event(2), b"id: 3\nda")(
                    connection, request)
            return self.rest_of_stream(connection, request)
        self.start_server("s1", respond)
        self.start_server("s2", respond)
        reply = self.chat("/letter/x")
        self.assertTrue(reply.complete, reply)
        self.assertEqual(reply.events(),
                         [f"t{n}" for n in range(1, LAST_EVENT + 1)])

    def test_unframed_stream_that_ends_after_an_event_is_complete(self):
        self.start_server("s1", self.unframed(event(1), event(2)))
        reply = self.chat()
        self.assertTrue(reply.complete, reply)
        self.assertEqual(reply.events(), ["t1", "t2"])

    def test_unframed_stream_that_is_reset_is_cut(self):
        def respond(connection, request):
            reset(connection)
            connection.sendall(stream_head(request) + event(1))
            return False
        self.start_server("s1", respond)
        self.assertFalse(self.chat().complete)

    def start_ledgers(self, respond):
        """Starts two plain servers, the only ones of their service."""
        for server in self.fleet.platform_state()["servers"]:
            self.fleet.control("remove-entry", {"id": server["id"]})
        servers = [self.start_server(f"ledger-{name}", respond, "ledger")
                   for name in "ab"]
        harness.wait_for(
            lambda: self.fleet.post("/look/x").body == "a receipt", 5,
            "the host uses the new servers")
        return servers

    def ask_for_broken_plain_answer(self, path):
        """Returns the reply to a request whose first server is killed when it
        has written half of its answer."""
        servers, crashed = [], []

        def respond(connection, request):
            connection.sendall(head(request) + b"a rec")
            if request.target == path and not crashed:
                crashed.extend(server for server in servers
                               if request in server.requests)
                crashed[0].crash()
                return False
            connection.sendall(b"eipt")
            return False
        servers += self.start_ledgers(respond)
        reply = self.fleet.post(path)
        self.assertEqual(len(crashed), 1)
        return reply

    def test_unframed_plain_answer_of_a_server_that_is_gone(self):
        """Guards against half of a plain answer that passes for the whole
        because its server ended (MIXED, review/6)."""
        reply = self.ask_for_broken_plain_answer("/pay/crash")
        self.assertEqual(reply.status, 502, reply)

    def test_unframed_plain_answer_of_a_server_that_is_gone_is_repeated(self):
        """Guards against the same where another server may be asked."""
        reply = self.ask_for_broken_plain_answer("/look/crash")
        self.assertEqual((reply.status, reply.body), (200, "a receipt"))

    def test_unframed_plain_answer_of_a_server_that_left(self):
        """Guards against a whole plain answer that counts as broken off because
        its server exited as announced."""
        def respond(connection, request):
            connection.sendall(head(request, "200 OK", "Server-Leaving: 1")
                               + b"a receipt")
            if request.target.endswith("/last"):
                connection.shutdown(socket.SHUT_WR)
                for server in servers:
                    if request in server.requests:
                        server.crash()
            return False
        servers = []
        servers += self.start_ledgers(respond)
        reply = self.fleet.post("/pay/last")
        self.assertEqual((reply.status, reply.body), (200, "a receipt"))

    def ask_server_that_leaves(self, first, second):
        """Returns the reply to a request whose first server says that it leaves,
        writes `first`, and exits, and whose second one calls `second`."""
        asked = []

        def respond(connection, request):
            if not request.target.endswith("/cut"):
                connection.sendall(head(request) + b"a receipt")
                return False
            asked.append(request)
            if len(asked) == 2:
                return second(connection, request)
            connection.sendall(head(request, "200 OK", "Server-Leaving: 1")
                               + first)
            connection.shutdown(socket.SHUT_WR)
            for server in servers:
                if request in server.requests:
                    server.crash()
            return False
        servers = []
        servers += self.start_ledgers(respond)
        reply = self.fleet.post("/look/cut")
        self.assertEqual(len(asked), 2)
        return reply

    def test_plain_answer_that_a_leaving_server_cut_is_repeated(self):
        """Guards against half of a plain answer that passes for the whole,
        because its server had announced that it exits (MIXED; the cause of
        review/11)."""
        def whole(connection, request):
            connection.sendall(head(request) + b"a receipt")
            return False
        reply = self.ask_server_that_leaves(b"a rec", whole)
        self.assertEqual((reply.status, reply.body), (200, "a receipt"))

    def test_plain_answer_is_whole_if_the_other_server_fails(self):
        """Guards against LOST: who fails to answer does not show that the answer
        was cut."""
        def fail(connection, request):
            connection.sendall(head(request, "500 Internal Server Error",
                                    "Content-Length: 0"))
            return False
        reply = self.ask_server_that_leaves(b"a receipt", fail)
        self.assertEqual((reply.status, reply.body), (200, "a receipt"))

    def test_unframed_plain_answer(self):
        def respond(connection, request):
            if request.target.endswith("/reset"):
                reset(connection)
            connection.sendall(head(request) + b"a receipt")
            return False
        for name in ("ledger-1", "ledger-2"):
            self.start_server(name, respond, "ledger")
        harness.wait_for(
            lambda: self.fleet.post("/look/x").body == "a receipt", 5,
            "the host uses the new servers")
        for _ in range(5):
            reply = self.fleet.post("/look/x")
            self.assertEqual((reply.status, reply.body), (200, "a receipt"))
        self.assertNotEqual(self.fleet.post("/pay/reset").status, 200)


if __name__ == "__main__":
    unittest.main()
