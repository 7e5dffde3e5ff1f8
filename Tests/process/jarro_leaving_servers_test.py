"""Streams without a length or chunks whose server exits right after their end,
because it leaves or because it crashes."""

import socket
import time
import unittest

import harness
import jarro_harness
from scripted_server import ScriptedServer, chunk, event, stream_head

MODEL = "m5"  # No stand-in holds it.
DRAIN_S = 0.6
# Covers a busy machine.
HEARING_LIMIT_S = 5
WHOLE = ["t1", "t2"]


class LeavingServers(jarro_harness.JarroTest):
    hosts = 1
    bounds = {"drainMs": int(1000 * DRAIN_S)}

    def setUp(self):
        super().setUp()
        self.begin_to_leave = lambda: None
        self.serves_on_s = 0
        self.head_fields = []
        self.server = ScriptedServer("s1", "llm", [MODEL], self.respond)
        self.addCleanup(self.server.close)
        self.server.register(self.fleet)

    def respond(self, connection, request):
        """Sends a stream of two events, and exits `serves_on_s` after it began
        to leave between them."""
        connection.sendall(stream_head(request, *self.head_fields) + event(1))
        self.begin_to_leave()
        time.sleep(self.serves_on_s)
        connection.sendall(event(2))
        connection.shutdown(socket.SHUT_WR)
        self.server.crash()
        return False

    def report_draining(self, **more):
        self.fleet.control("entry", {
            "id": "s1", "value": self.server.entry(state="draining", seq=2,
                                                   **more)})
        self.wait_for_log('"endpoint leaving"')

    def remove_entry(self):
        self.server.leave(self.fleet)
        self.wait_for_log('"endpoint removed"')

    def wait_for_log(self, text):
        harness.wait_for(lambda: text in self.fleet.hosts[0].log(),
                         HEARING_LIMIT_S, f"the host logs {text}")

    def chat(self, path="/chat/x"):
        reply = self.fleet.chat(MODEL, path=path)
        self.assertEqual(reply.status, 200, reply)
        return reply

    def assert_whole(self, path="/chat/x"):
        reply = self.chat(path)
        self.assertTrue(reply.complete, reply)
        self.assertEqual(reply.events(), WHOLE)

    def test_server_that_reported_draining_exits_after_its_last_stream(self):
        """Guards against a whole stream that counts as broken off because its
        server exited in order (LOST, review/10)."""
        self.begin_to_leave = self.report_draining
        self.serves_on_s = DRAIN_S
        self.assert_whole()

    def test_server_whose_entry_was_removed_exits_after_its_last_stream(self):
        """Guards against the same for servers that never report draining."""
        self.begin_to_leave = self.remove_entry
        self.serves_on_s = DRAIN_S
        self.assert_whole()

    def test_server_that_announced_leaving_in_an_answer_exits(self):
        """Guards against the same where only the answer says so."""
        self.head_fields = ["Server-Leaving: 1"]
        self.assert_whole()

    def add_other(self, respond):
        """Adds a second server with the model when the first begins to leave."""
        self.serves_on_s = DRAIN_S
        other = ScriptedServer("s2", "llm", [], respond)
        self.addCleanup(other.close)

        def begin():
            self.report_draining()
            other.models = [MODEL]
            other.register(self.fleet)
        self.begin_to_leave = begin
        return other

    def answer_with(self, *numbers):
        def respond(connection, request):
            connection.sendall(
                stream_head(request, "Transfer-Encoding: chunked")
                + b"".join(chunk(event(number)) for number in numbers)
                + chunk(b""))
            return True
        return respond

    def test_rest_of_a_cut_stream_comes_from_another_server(self):
        """Guards against ORDER (review/11): a server may exit as announced in the
        middle of its streams."""
        other = self.add_other(self.answer_with(3, 4))
        reply = self.chat("/letter/x")
        self.assertTrue(reply.complete, reply)
        self.assertEqual(reply.events(), ["t1", "t2", "t3", "t4"])
        self.assertEqual(len(other.requests), 1)
        self.assertEqual(other.requests[0].headers["last-event-id"], "2")

    def test_stream_of_which_another_server_has_no_more_is_whole(self):
        other = self.add_other(self.answer_with())
        self.assert_whole("/letter/x")
        self.assertEqual(len(other.requests), 1)

    def test_stream_is_whole_if_nobody_can_tell(self):
        """Guards against LOST (review/10): whoever fails to answer does not show
        that the stream was cut."""
        def crash(connection, request):
            return False
        other = self.add_other(crash)
        self.assert_whole("/letter/x")
        self.assertEqual(len(other.requests), 1)

    def test_stream_is_whole_if_nobody_can_be_asked(self):
        self.begin_to_leave = self.report_draining
        self.serves_on_s = DRAIN_S
        self.assert_whole("/letter/x")

    def test_stream_that_may_not_be_resumed_is_not_sent_again(self):
        other = self.add_other(self.answer_with(3))
        self.assert_whole()
        self.assertEqual(other.requests, [])

    def test_server_killed_while_it_owes_service_is_cut(self):
        """Guards against ORDER: a leaving server still has to serve for a while,
        so its early end breaks off what it runs."""
        self.begin_to_leave = self.report_draining
        self.assertFalse(self.chat().complete)

    def test_server_withdrawn_after_its_notice_is_cut(self):
        """Guards against ORDER: at short notice a server is withdrawn whatever
        it runs."""
        self.begin_to_leave = lambda: self.report_draining(
            remainingMs=int(1000 * DRAIN_S))
        self.serves_on_s = DRAIN_S
        self.assertFalse(self.chat().complete)

    def test_restarted_server_has_not_announced_anything(self):
        """Guards against the departure of an earlier incarnation."""
        self.report_draining()
        self.fleet.control("entry", {
            "id": "s1", "value": self.server.entry(born=3000)})
        self.wait_for_log('"endpoint restarted"')
        self.serves_on_s = DRAIN_S
        self.assertFalse(self.chat().complete)


if __name__ == "__main__":
    unittest.main()
