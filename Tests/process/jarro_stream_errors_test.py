"""Streams that break off and cannot be continued at the next server."""

import unittest

import jarro_harness
from scripted_server import (ScriptedServer, chunk, event, head, reset,
                             stream_head)

MODEL = "m5"  # No stand-in holds it.
LAST_EVENT = 4
ERROR = b'{"error": "out of order"}'


class StreamErrors(jarro_harness.JarroTest):
    hosts = 1

    def setUp(self):
        super().setUp()
        self.later_answers = []
        for name in ("s1", "s2"):
            server = ScriptedServer(name, "llm", [MODEL], self.respond)
            self.addCleanup(server.close)
            server.register(self.fleet)

    def respond(self, connection, request):
        """Breaks the first stream off after an event and an incomplete one,
        then gives the later answers, and then the rest of the stream."""
        after = request.headers.get("last-event-id")
        if after is None:
            reset(connection)
            connection.sendall(
                stream_head(request, "Transfer-Encoding: chunked")
                + chunk(event(1)) + chunk(b"id: 2\nda"))
            return False
        if self.later_answers:
            connection.sendall(self.later_answers.pop(0)(request))
            return True
        connection.sendall(stream_head(request, "Transfer-Encoding: chunked"))
        for number in range(int(after) + 1, LAST_EVENT + 1):
            connection.sendall(chunk(event(number)))
        connection.sendall(chunk(b""))
        return True

    @staticmethod
    def error(status, *fields, **options):
        def answer(request):
            return head(request, status, "Content-Type: application/json",
                        f"Content-Length: {len(ERROR)}", *fields,
                        **options) + ERROR
        return answer

    def resume_after(self, *answers):
        self.later_answers = list(answers)
        reply = self.fleet.chat(MODEL, path="/letter/x")
        self.assertEqual(reply.status, 200)
        self.assertNotIn("error", reply.body)
        self.assertNotIn("HTTP/1.1", reply.body)
        return reply

    def test_answer_that_does_not_continue_the_stream_breaks_it_off(self):
        """Regression test (ORDER on swt-visits-grown): the error of the second
        server completed the stream that the first one had begun."""
        for answer in (
                self.error("500 Error"), self.error("404 Not Found"),
                self.error("302 Found", "Location: /elsewhere"),
                self.error("200 OK"), self.error("429 Too Many"),
                self.error("503 Unavailable"),
                self.error("503 Unavailable", signed=False)):
            with self.subTest(answer(type("R", (), {"id": "x"}))[9:12]):
                reply = self.resume_after(answer)
                self.assertEqual(reply.events(), ["t1"])
                self.assertFalse(reply.complete, reply)

    @staticmethod
    def stream(*numbers, unframed=False):
        """Returns an answer with the given events, framed as complete."""
        def answer(request):
            body = b"".join(event(number) for number in numbers)
            framing = () if unframed else (f"Content-Length: {len(body)}",)
            return stream_head(request, *framing) + body
        return answer

    def test_continuation_without_an_event_does_not_complete_the_stream(self):
        """Regression test (ORDER on swt-visits-grown): a 200 without any event
        counted as the end of the stream."""
        def empty_chunks(request):
            return stream_head(request, "Transfer-Encoding: chunked") + chunk(
                b"")
        for answer in (self.stream(), empty_chunks):
            reply = self.resume_after(answer)
            self.assertEqual(reply.events(), ["t1"])
            self.assertFalse(reply.complete, reply)

    def test_continuation_at_another_place_breaks_the_stream_off(self):
        """Regression test (ORDER on swt-visits-grown): a server that ignores
        Last-Event-Id gave pieces twice."""
        reply = self.resume_after(self.stream(1, 2, 3, 4))
        self.assertEqual(reply.events(), ["t1"])
        self.assertFalse(reply.complete, reply)

    def test_server_that_did_not_execute_the_request_is_passed_over(self):
        for answer in (self.error("421 Misdirected", signed=False),
                       self.error("503 Full", "Not-Executed: 1"),
                       self.error("429 Full", "Not-Executed: 1")):
            with self.subTest(answer(type("R", (), {"id": "x"}))[9:12]):
                reply = self.resume_after(answer)
                self.assertEqual(reply.events(), ["t1", "t2", "t3", "t4"])
                self.assertTrue(reply.complete, reply)


if __name__ == "__main__":
    unittest.main()
